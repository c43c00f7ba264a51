#pragma once

#include "clementinelane/error.h"

#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace clementinelane {

/// Serializes `Value` as MessagePack.
template <typename T> std::string pack(const T &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

/// Decodes a `T` from MessagePack, or returns `DecodeError` if `Bytes` hold no
/// such value. Unknown fields are ignored.
template <typename T>
result<T> unpack(std::string_view Bytes, error_kind DecodeError) {
  try {
    return msgpack::unpack(Bytes.data(), Bytes.size()).get().as<T>();
  } catch (const std::exception &) {
    return DecodeError;
  }
}

} // namespace clementinelane
