#include "return_exchange.h"

#include "config.h"
#include "message_pack.h"

#include <nlohmann/json.hpp>

namespace clementinelane {

namespace {

using json = nlohmann::json;

} // namespace

std::string encodeReturns(const return_batch &Batch) {
  json Notes = json::array();
  for (const return_note &Note : Batch.Notes)
    Notes.push_back({Note.Request, Note.DueIn.count()});
  std::string Bytes;
  json::to_msgpack(json::array({Batch.Vm, Batch.Sequence, std::move(Notes)}),
                   Bytes);
  return Bytes;
}

std::optional<return_batch> decodeReturns(std::string_view Bytes) {
  try {
    const json Body = decodeMessagePack(Bytes);
    return_batch Batch{
        Body.at(0).get<std::uint64_t>(), Body.at(1).get<std::uint64_t>(), {}};
    const json &Notes = Body.at(2);
    if (!Notes.is_array() || Notes.size() > config::MaxReturnNotes)
      return std::nullopt;
    for (const json &Note : Notes)
      Batch.Notes.push_back(
          {Note.at(0).get<std::uint64_t>(),
           std::chrono::milliseconds(Note.at(1).get<std::int32_t>())});
    return Batch;
  } catch (const json::exception &) {
    return std::nullopt; // the caller logs it
  }
}

void return_exchange::onTick(mono_time Now) {
  Returns.expire(Now);
  sendBatch(Now);
}

void return_exchange::onRefusal(mono_time Now) {
  if (const auto First = Returns.firstOutgoing();
      First && *First - Now < 2 * config::RouterTickInterval)
    sendBatch(Now);
}

void return_exchange::sendBatch(mono_time Now) {
  std::vector<return_note> Notes = Returns.takeOutgoing(Now);
  if (!Notes.empty())
    Send(encodeReturns({Vm, ++Sequence, std::move(Notes)}));
}

bool return_exchange::onMessage(std::string_view Bytes, mono_time Now) {
  const auto Batch = decodeReturns(Bytes);
  if (!Batch)
    return false;
  if (LastSequences.size() >= config::MaxReturnSenders &&
      !LastSequences.contains(Batch->Vm))
    LastSequences.clear();
  std::uint64_t &Last = LastSequences[Batch->Vm];
  if (Batch->Sequence <= Last)
    return true;
  Last = Batch->Sequence;
  for (const return_note &Note : Batch->Notes)
    Returns.applyPeer(Note, Now);
  return true;
}

} // namespace clementinelane
