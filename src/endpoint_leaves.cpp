#include "endpoint_leaves.h"

#include "config.h"

namespace clementinelane {

bool endpoint_leaves::recordAnswer(std::uint32_t Endpoint, mono_time Now) {
  const auto [Entry, IsNews] = Entries.try_emplace(Endpoint);
  if (!Entry->second.AnsweredAt)
    Entry->second.AnsweredAt = Now;
  return IsNews;
}

bool endpoint_leaves::applyPeerNote(const leave_note &Note, mono_time Now) {
  const mono_time At = Now - Note.Age;
  if (Now - At >= config::LeaveNoteTtl)
    return false;
  const auto [Entry, IsNews] = Entries.try_emplace(Note.Endpoint);
  Entry->second.NotedAt = std::max(Entry->second.NotedAt, At);
  return IsNews;
}

std::vector<leave_note> endpoint_leaves::ownNotes(mono_time Now) const {
  std::vector<leave_note> Notes;
  for (const auto &[Endpoint, Entry] : Entries)
    if (Entry.AnsweredAt && Now - *Entry.AnsweredAt < config::LeaveNoteTtl &&
        Notes.size() < config::MaxDigestLeaves)
      Notes.push_back({Endpoint, std::chrono::ceil<std::chrono::milliseconds>(
                                     Now - *Entry.AnsweredAt)});
  return Notes;
}

bool endpoint_leaves::expire(mono_time Now) {
  const auto IsExpired = [Now](const auto &Item) {
    const entry &Entry = Item.second;
    return Entry.AnsweredAt ? Now - *Entry.AnsweredAt >= config::LeaveTtl
                            : Now - Entry.NotedAt >= config::LeaveNoteTtl;
  };
  return std::erase_if(Entries, IsExpired) > 0;
}

} // namespace clementinelane
