#pragma once

#include "clementinelane/error.h"
#include "clock.h"
#include "settings.h"

#include <cstdint>
#include <msgpack.hpp>
#include <span>
#include <string>
#include <string_view>

namespace clementinelane {

/// The version that a session is bound to. Callers carry it in a signed token,
/// so that it survives the loss of any VM.
struct session_binding {
  std::string Customer;
  std::string Session;
  std::string Work;
  std::string Version;
  std::uint64_t ConfigOffset = 0; ///< configuration at the session's start
  std::int64_t OpenedAt = 0;      ///< wall time, seconds
  MSGPACK_DEFINE_MAP(Customer, Session, Work, Version, ConfigOffset, OpenedAt)
};

/// Signs and verifies session tokens: "keyid.payload.mac", base64url, HMAC
/// with SHA-256.
class session_token_codec {
public:
  explicit session_token_codec(std::span<const session_key> Keys)
      : Keys(Keys.begin(), Keys.end()) {}

  std::string sign(const session_binding &Binding) const;
  /// Returns SessionTokenInvalid for an unknown key, a wrong signature or an
  /// expired token.
  result<session_binding> verify(std::string_view Token, wall_time Now) const;

private:
  std::vector<session_key> Keys;
};

} // namespace clementinelane
