#include "event_splitter.h"

#include <charconv>

namespace clementinelane {

namespace {

/// Offset just past the blank line that ends the first event, or npos. `Line`
/// is the start of the first line to search, and then of the line where the
/// search ended.
std::size_t endOfEvent(std::string_view Text, std::size_t &Line) {
  while (true) {
    const std::size_t End = Text.find('\n', Line);
    if (End == std::string_view::npos)
      return End;
    const std::string_view Content = Text.substr(Line, End - Line);
    if (Content.empty() || Content == "\r")
      return End + 1;
    Line = End + 1;
  }
}

std::optional<std::uint64_t> idOf(std::string_view Event) {
  constexpr std::string_view Field = "id:";
  std::size_t Line = 0;
  while (Line < Event.size()) {
    const std::size_t End = Event.find('\n', Line);
    std::string_view Content = Event.substr(Line, End - Line);
    if (Content.starts_with(Field)) {
      Content.remove_prefix(Field.size());
      while (Content.starts_with(' '))
        Content.remove_prefix(1);
      std::uint64_t Id = 0;
      const auto [Rest, Error] =
          std::from_chars(Content.data(), Content.data() + Content.size(), Id);
      if (Error == std::errc() && Rest != Content.data())
        return Id;
    }
    if (End == std::string_view::npos)
      break;
    Line = End + 1;
  }
  return std::nullopt;
}

} // namespace

std::optional<stream_event> event_splitter::next() {
  const std::string_view Rest = std::string_view(Pending).substr(Start);
  const std::size_t End = endOfEvent(Rest, Line);
  if (End == std::string_view::npos) {
    Pending.erase(0, Start);
    Start = 0;
    return std::nullopt;
  }
  Line = 0;
  stream_event Event{std::string(Rest.substr(0, End)),
                     idOf(Rest.substr(0, End))};
  Start += End;
  return Event;
}

void event_splitter::reset() {
  Pending.clear();
  Start = 0;
  Line = 0;
}

} // namespace clementinelane
