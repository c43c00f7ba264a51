#include "toml_reader.h"

#include <algorithm>

namespace clementinelane {

std::string formatError(const file_error &Error) {
  std::string Text = Error.File;
  if (Error.Line > 0) {
    Text += ':';
    Text += std::to_string(Error.Line);
  }
  Text += ": ";
  if (!Error.Key.empty())
    Text += Error.Key + ": ";
  return Text + Error.Message;
}

file_error errorAt(const toml::node &Node, std::string Path,
                   std::string Message) {
  const toml::source_region &Source = Node.source();
  return {Source.path ? *Source.path : std::string(), Source.begin.line,
          std::move(Path), std::move(Message)};
}

toml::table parseToml(std::string_view File, std::string_view Text,
                      std::vector<file_error> &Errors) {
  try {
    return toml::parse(Text, File);
  } catch (const toml::parse_error &Error) {
    Errors.push_back({std::string(File), Error.source().begin.line, "",
                      std::string(Error.description())});
    return {};
  }
}

void mergeToml(toml::table &Into, toml::table &&From) {
  for (auto &&[Key, Node] : From) {
    auto *Existing = Into.get_as<toml::table>(Key.str());
    if (auto *Table = Node.as_table(); Table && Existing) {
      mergeToml(*Existing, std::move(*Table));
      continue;
    }
    Node.visit([&, Name = Key.str()](auto &Value) {
      Into.insert_or_assign(Name, std::move(Value));
    });
  }
}

std::string section_reader::pathOf(std::string_view Key) const {
  std::string Full = Path;
  if (!Full.empty() && !Key.empty())
    Full += '.';
  return Full.append(Key);
}

void section_reader::report(std::string_view Key, std::string Message) {
  const toml::node *Node = Key.empty() ? nullptr : Table.get(Key);
  Errors.push_back(
      errorAt(Node ? *Node : Table, pathOf(Key), std::move(Message)));
}

const toml::node *section_reader::findKey(std::string_view Key) {
  KnownKeys.emplace_back(Key);
  return Table.get(Key);
}

section_reader &section_reader::text(std::string_view Key, std::string &Out,
                                     bool Required) {
  const toml::node *Node = findKey(Key);
  if (!Node) {
    if (Required)
      report("", "missing required key " + std::string(Key));
    return *this;
  }
  if (const auto Value = Node->value_exact<std::string>())
    Out = *Value;
  else
    report(Key, "must be a string");
  return *this;
}

section_reader &section_reader::number(std::string_view Key, double &Out,
                                       double Min, double Max) {
  const toml::node *Node = findKey(Key);
  if (!Node)
    return *this;
  const auto Value = Node->is_number() ? Node->value<double>() : std::nullopt;
  if (Value && *Value >= Min && *Value <= Max)
    Out = *Value;
  else
    report(Key, "must be a number from " + std::to_string(Min) + " to " +
                    std::to_string(Max));
  return *this;
}

section_reader &section_reader::integer(std::string_view Key,
                                        std::uint64_t &Out, std::uint64_t Min,
                                        std::uint64_t Max) {
  const toml::node *Node = findKey(Key);
  if (!Node)
    return *this;
  const auto Value = Node->value_exact<std::int64_t>();
  if (Value && *Value >= 0 && static_cast<std::uint64_t>(*Value) >= Min &&
      static_cast<std::uint64_t>(*Value) <= Max)
    Out = static_cast<std::uint64_t>(*Value);
  else
    report(Key, "must be an integer from " + std::to_string(Min) + " to " +
                    std::to_string(Max));
  return *this;
}

section_reader &section_reader::millis(std::string_view Key,
                                       std::chrono::milliseconds &Out,
                                       std::uint64_t Max) {
  auto Value = static_cast<std::uint64_t>(Out.count());
  integer(Key, Value, 0, Max);
  Out = std::chrono::milliseconds(Value);
  return *this;
}

section_reader &section_reader::boolean(std::string_view Key, bool &Out) {
  const toml::node *Node = findKey(Key);
  if (!Node)
    return *this;
  if (const auto Value = Node->value_exact<bool>())
    Out = *Value;
  else
    report(Key, "must be true or false");
  return *this;
}

section_reader &section_reader::texts(std::string_view Key,
                                      std::vector<std::string> &Out) {
  const toml::node *Node = findKey(Key);
  if (!Node)
    return *this;
  const toml::array *Array = Node->as_array();
  if (!Array || (!Array->empty() && !Array->is_homogeneous<std::string>())) {
    report(Key, "must be a list of strings");
    return *this;
  }
  Out.clear();
  for (const toml::node &Item : *Array)
    Out.push_back(*Item.value<std::string>());
  return *this;
}

section_reader &section_reader::numbers(std::string_view Key,
                                        std::vector<double> &Out) {
  const toml::node *Node = findKey(Key);
  if (!Node)
    return *this;
  const toml::array *Array = Node->as_array();
  const auto IsNumber = [](const toml::node &Item) { return Item.is_number(); };
  if (!Array || !std::all_of(Array->begin(), Array->end(), IsNumber)) {
    report(Key, "must be a list of numbers");
    return *this;
  }
  Out.clear();
  for (const toml::node &Item : *Array)
    Out.push_back(*Item.value<double>());
  return *this;
}

section_reader &section_reader::table(
    std::string_view Key,
    const std::function<void(const toml::table &, const std::string &)> &Each) {
  const toml::node *Node = findKey(Key);
  if (!Node)
    return *this;
  if (const toml::table *Found = Node->as_table())
    Each(*Found, pathOf(Key));
  else
    report(Key, "must be a table");
  return *this;
}

section_reader &section_reader::tables(
    std::string_view Key,
    const std::function<void(std::string_view, const toml::table &,
                             const std::string &)> &Each) {
  return table(Key, [&](const toml::table &Group, const std::string &Path) {
    for (const auto &[Name, Node] : Group) {
      const std::string Full = Path + "." + std::string(Name.str());
      if (const toml::table *Item = Node.as_table())
        Each(Name.str(), *Item, Full);
      else
        Errors.push_back(errorAt(Node, Full, "must be a table"));
    }
  });
}

void section_reader::finish() {
  for (const auto &[Key, Node] : Table) {
    if (std::find(KnownKeys.begin(), KnownKeys.end(), Key.str()) !=
        KnownKeys.end())
      continue;
    Errors.push_back(
        errorAt(Node, pathOf(Key.str()), "is not a key known here"));
  }
}

} // namespace clementinelane
