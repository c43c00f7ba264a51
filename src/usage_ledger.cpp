#include "usage_ledger.h"

#include "codec.h"

namespace clementinelane {

std::string encodeUsage(std::span<const usage_record> Records) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(static_cast<std::uint32_t>(Records.size()));
  for (const usage_record &Record : Records)
    Packer.pack(Record);
  return {Buffer.data(), Buffer.size()};
}

result<std::vector<usage_record>> decodeUsage(std::string_view Bytes) {
  return unpack<std::vector<usage_record>>(Bytes, error_kind::RecordCorrupt);
}

std::error_code usage_ledger::apply(std::string_view Bytes) {
  const auto Records = decodeUsage(Bytes);
  if (!Records)
    return Records.error();
  for (const usage_record &Record : Records.value()) {
    // A record may be in the log more than once. A request id is billed only
    // the first time, so that no request is billed twice.
    if (!BilledIds.insert(Record.RequestId).second) {
      ++Duplicates;
      continue;
    }
    usage_total &Total = Totals[Record.Customer];
    ++Total.Requests;
    for (const usage_part &Part : Record.Parts) {
      Total.PromptTokens += Part.PromptTokens;
      Total.CompletionTokens += Part.CompletionTokens;
      Total.Cost += Part.Cost;
    }
  }
  return {};
}

} // namespace clementinelane
