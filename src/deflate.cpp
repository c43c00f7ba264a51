#include "deflate.h"

#include <stdexcept>
#include <zlib.h>

namespace clementinelane {

std::string deflate(std::string_view Bytes) {
  uLongf Size = compressBound(Bytes.size());
  std::string Packed(Size, '\0');
  const int Outcome = compress2(reinterpret_cast<Bytef *>(Packed.data()), &Size,
                                reinterpret_cast<const Bytef *>(Bytes.data()),
                                Bytes.size(), Z_BEST_SPEED);
  if (Outcome != Z_OK)
    throw std::runtime_error("zlib can't pack");
  Packed.resize(Size);
  return Packed;
}

std::optional<std::string> inflate(std::string_view Packed, std::size_t Most) {
  uLongf Size = Most;
  std::string Bytes(Size, '\0');
  const int Outcome =
      uncompress(reinterpret_cast<Bytef *>(Bytes.data()), &Size,
                 reinterpret_cast<const Bytef *>(Packed.data()), Packed.size());
  if (Outcome != Z_OK)
    return std::nullopt;
  Bytes.resize(Size);
  return Bytes;
}

} // namespace clementinelane
