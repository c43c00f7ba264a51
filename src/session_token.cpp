#include "session_token.h"

#include "codec.h"
#include "config.h"

#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace clementinelane {

namespace {

std::string toBase64(std::string_view Bytes) {
  std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  const int Size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Size));
  std::replace(Text.begin(), Text.end(), '+', '-');
  std::replace(Text.begin(), Text.end(), '/', '_');
  while (!Text.empty() && Text.back() == '=')
    Text.pop_back();
  return Text;
}

bool fromBase64(std::string_view Text, std::string &Bytes) {
  std::string Padded(Text);
  std::replace(Padded.begin(), Padded.end(), '-', '+');
  std::replace(Padded.begin(), Padded.end(), '_', '/');
  const std::size_t Padding = (4 - Padded.size() % 4) % 4;
  Padded.append(Padding, '=');
  Bytes.resize(Padded.size());
  const int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Padded.data()),
                      static_cast<int>(Padded.size()));
  if (Size < static_cast<int>(Padding))
    return false;
  Bytes.resize(static_cast<std::size_t>(Size) - Padding);
  return true;
}

std::string macOf(const session_key &Key, std::string_view Payload) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Mac{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.Secret.data(), static_cast<int>(Key.Secret.size()),
       reinterpret_cast<const unsigned char *>(Payload.data()), Payload.size(),
       Mac.data(), &Size);
  return {reinterpret_cast<const char *>(Mac.data()), Size};
}

} // namespace

std::string session_token_codec::sign(const session_binding &Binding) const {
  if (Keys.empty())
    return {};
  const std::string Payload = Keys.front().Id + "." + toBase64(pack(Binding));
  return Payload + "." + toBase64(macOf(Keys.front(), Payload));
}

result<session_binding> session_token_codec::verify(std::string_view Token,
                                                    wall_time Now) const {
  const std::error_code Invalid = error_kind::SessionTokenInvalid;
  const auto FirstDot = Token.find('.');
  const auto LastDot = Token.rfind('.');
  if (FirstDot == std::string_view::npos || FirstDot == LastDot)
    return Invalid;
  const auto Key =
      std::find_if(Keys.begin(), Keys.end(), [&](const session_key &Each) {
        return Each.Id == Token.substr(0, FirstDot);
      });
  std::string Mac;
  if (Key == Keys.end() || !fromBase64(Token.substr(LastDot + 1), Mac))
    return Invalid;
  const std::string Expected = macOf(*Key, Token.substr(0, LastDot));
  if (Mac.size() != Expected.size() ||
      CRYPTO_memcmp(Mac.data(), Expected.data(), Mac.size()) != 0)
    return Invalid;
  std::string Bytes;
  if (!fromBase64(Token.substr(FirstDot + 1, LastDot - FirstDot - 1), Bytes))
    return Invalid;
  auto Binding =
      unpack<session_binding>(Bytes, error_kind::SessionTokenInvalid);
  if (!Binding)
    return Invalid;
  const auto Age =
      Now - wall_time(std::chrono::seconds(Binding.value().OpenedAt));
  if (Age > config::SessionTokenMaxAge)
    return Invalid;
  return Binding;
}

} // namespace clementinelane
