#pragma once

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementinelane {

/// What a VM tells another of an endpoint's connection.
enum class tunnel_frame : std::uint8_t {
  Data = 1,  ///< bytes of the endpoint
  End = 2,   ///< the endpoint closed in order
  Broken = 3 ///< the endpoint's connection was lost
};

/// Bytes of a frame before its data: kind, then the data's size in network
/// order.
constexpr std::size_t TunnelFrameHeaderBytes = 5;
constexpr std::size_t MaxTunnelFrameBytes = std::size_t{1} << 20U;

/// Field of CONNECT and of its response by which VMs agree on frames. A VM of
/// an earlier release ignores it.
constexpr std::string_view TunnelFramesField = "Tunnel-Frames";
constexpr std::string_view TunnelFramesVersion = "1";

/// The header of a frame with `Size` bytes of data.
inline std::string tunnelFrameHeader(tunnel_frame Kind, std::size_t Size = 0);

/// Reads the frames of a tunnel; does no I/O.
class tunnel_frame_reader {
public:
  /// Takes complete and partial frames from the front of `Bytes`, appends their
  /// data to `Data`, and returns false if they are malformed. Nothing may
  /// follow the end.
  bool feed(std::string_view Bytes, std::string &Data);
  /// How the endpoint's connection ended: End or Broken; none as long as it is
  /// open. A tunnel that ends without it is broken itself.
  std::optional<tunnel_frame> end() const { return Ended; }

private:
  bool takeHeader();

  std::string Header;
  std::size_t DataLeft = 0;
  std::optional<tunnel_frame> Ended;
};

inline std::string tunnelFrameHeader(tunnel_frame Kind, std::size_t Size) {
  std::string Header(TunnelFrameHeaderBytes, static_cast<char>(Kind));
  boost::endian::store_big_u32(
      reinterpret_cast<unsigned char *>(Header.data()) + 1,
      static_cast<std::uint32_t>(Size));
  return Header;
}

inline bool tunnel_frame_reader::feed(std::string_view Bytes,
                                      std::string &Data) {
  while (!Bytes.empty()) {
    if (Ended)
      return false;
    if (DataLeft > 0) {
      const std::size_t Count = std::min(DataLeft, Bytes.size());
      Data += Bytes.substr(0, Count);
      Bytes.remove_prefix(Count);
      DataLeft -= Count;
      continue;
    }
    const std::size_t Count =
        std::min(TunnelFrameHeaderBytes - Header.size(), Bytes.size());
    Header += Bytes.substr(0, Count);
    Bytes.remove_prefix(Count);
    if (Header.size() == TunnelFrameHeaderBytes && !takeHeader())
      return false;
  }
  return true;
}

inline bool tunnel_frame_reader::takeHeader() {
  const auto Kind = static_cast<tunnel_frame>(Header.front());
  const std::size_t Size = boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char *>(Header.data()) + 1);
  Header.clear();
  if (Kind == tunnel_frame::Data) {
    DataLeft = Size;
    return Size > 0 && Size <= MaxTunnelFrameBytes;
  }
  Ended = Kind;
  return Size == 0 &&
         (Kind == tunnel_frame::End || Kind == tunnel_frame::Broken);
}

} // namespace clementinelane
