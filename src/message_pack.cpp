#include "message_pack.h"

namespace clementinelane {

namespace {

using json = nlohmann::json;

/// Values of messages are nested less deeply.
constexpr int MaxNesting = 32;
/// So few bytes can't be nested deeply enough to matter.
constexpr std::size_t HarmlessBytes = 4096;

/// Ends the parse at the first value that is nested too deeply.
class nesting_check final : public nlohmann::json_sax<json> {
public:
  bool isTooDeep() const { return Depth > MaxNesting; }

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool key(string_t &) override { return true; }
  bool start_object(std::size_t) override { return ++Depth <= MaxNesting; }
  bool end_object() override { return --Depth >= 0; }
  bool start_array(std::size_t) override { return ++Depth <= MaxNesting; }
  bool end_array() override { return --Depth >= 0; }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  int Depth = 0;
};

} // namespace

// Failure: another writer's record is nested deeply. The parser calls itself
// for each level and runs out of stack.
json decodeMessagePack(std::string_view Bytes) {
  if (Bytes.size() > HarmlessBytes) {
    nesting_check Check;
    // Malformed bytes are reported by the decoder.
    static_cast<void>(json::sax_parse(Bytes.begin(), Bytes.end(), &Check,
                                      json::input_format_t::msgpack));
    if (Check.isTooDeep())
      return nullptr;
  }
  return json::from_msgpack(Bytes.begin(), Bytes.end());
}

} // namespace clementinelane
