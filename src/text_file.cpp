#include "text_file.h"

#include <fstream>
#include <sstream>

namespace clementinelane {

bool readFile(const std::string &Path, std::string &Text) {
  std::ifstream Stream(Path, std::ios::binary);
  if (!Stream)
    return false;
  std::ostringstream Buffer;
  Buffer << Stream.rdbuf();
  Text = std::move(Buffer).str();
  return true;
}

} // namespace clementinelane
