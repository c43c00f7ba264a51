#include "deflate.h"

#include <stdexcept>
#include <zlib.h>

namespace clementinelane {

std::string deflate(std::string_view Bytes) {
  uLongf Size = compressBound(Bytes.size());
  std::string Compressed(Size, '\0');
  const int Result =
      compress2(reinterpret_cast<Bytef *>(Compressed.data()), &Size,
                reinterpret_cast<const Bytef *>(Bytes.data()), Bytes.size(),
                Z_BEST_SPEED);
  if (Result != Z_OK)
    throw std::runtime_error("zlib could not compress");
  Compressed.resize(Size);
  return Compressed;
}

std::optional<std::string> inflate(std::string_view Compressed,
                                   std::size_t MaxBytes) {
  uLongf Size = MaxBytes;
  std::string Bytes(Size, '\0');
  const int Result = uncompress(
      reinterpret_cast<Bytef *>(Bytes.data()), &Size,
      reinterpret_cast<const Bytef *>(Compressed.data()), Compressed.size());
  if (Result != Z_OK)
    return std::nullopt;
  Bytes.resize(Size);
  return Bytes;
}

} // namespace clementinelane
