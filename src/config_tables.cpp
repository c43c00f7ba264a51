#include "config_tables.h"

#include <algorithm>

namespace clementinelane {

config_tables::file_tables config_tables::parse(std::string_view Name,
                                                std::string_view Text,
                                                bool &IsReadable) {
  file_tables Parsed;
  std::vector<file_error> Errors;
  Parsed.Root = parseToml(Name, Text, Errors);
  if (!Errors.empty())
    IsReadable = false;
  for (const auto &[Section, Node] : Parsed.Root) {
    const toml::table *Group = Node.as_table();
    if (!Group || !isSection(Section.str())) {
      Parsed.IsRegular = false;
      continue;
    }
    for (const auto &[Item, Value] : *Group) {
      Parsed.IsRegular = Parsed.IsRegular && Value.is_table();
      Parsed.Items.push_back(
          {std::string(Section.str()), std::string(Item.str())});
    }
  }
  return Parsed;
}

config_tables::edit
config_tables::prepare(const std::map<std::string, std::string> &Upserts,
                       std::span<const std::string> Deletes) {
  edit Edit;
  for (const auto &[Name, Text] : Upserts)
    Edit.Upserts.emplace(Name, parse(Name, Text, Edit.IsReadable));
  // A file both written and removed is removed, as in config_replica.
  for (const std::string &Name : Deletes)
    Edit.Upserts.erase(Name);
  Edit.Deletes.assign(Deletes.begin(), Deletes.end());
  return Edit;
}

std::set<item_name> config_tables::affectedItems(const edit &Edit) const {
  std::set<item_name> Items;
  const auto Add = [&](const std::string &Name) {
    if (const auto Old = Files.find(Name); Old != Files.end())
      Items.insert(Old->second.Items.begin(), Old->second.Items.end());
  };
  for (const auto &[Name, File] : Edit.Upserts) {
    Add(Name);
    Items.insert(File.Items.begin(), File.Items.end());
  }
  std::for_each(Edit.Deletes.begin(), Edit.Deletes.end(), Add);
  return Items;
}

toml::table config_tables::merge(const std::set<item_name> &Items,
                                 const edit &Edit) const {
  // Tables of each touched file after the edit; null if it is removed.
  std::map<std::string, const file_tables *> Touched;
  for (const auto &[Name, File] : Edit.Upserts)
    Touched[Name] = &File;
  for (const std::string &Name : Edit.Deletes)
    Touched[Name] = nullptr;

  toml::table Root;
  for (const item_name &Item : Items) {
    std::map<std::string, const file_tables *> Sources = Touched;
    if (const auto Found = FilesByItem.find(Item); Found != FilesByItem.end())
      for (const std::string &Name : Found->second)
        if (!Touched.contains(Name))
          Sources[Name] = &Files.find(Name)->second;
    for (const auto &[Name, File] : Sources) {
      const toml::table *Table =
          File ? File->Root[Item.Section][Item.Name].as_table() : nullptr;
      if (!Table)
        continue;
      auto *Group =
          Root.insert(Item.Section, toml::table()).first->second.as_table();
      auto *Into =
          Group->insert(Item.Name, toml::table()).first->second.as_table();
      mergeToml(*Into, toml::table(*Table));
    }
  }
  return Root;
}

configuration_ptr config_tables::rebuild(const configuration &Current,
                                         const edit &Edit,
                                         std::uint64_t Offset) const {
  const bool IsRegular =
      std::all_of(Edit.Upserts.begin(), Edit.Upserts.end(),
                  [](const auto &Item) { return Item.second.IsRegular; });
  if (!Edit.IsReadable || !IsRegular || IrregularFiles > 0)
    return nullptr;
  const std::set<item_name> AffectedItems = affectedItems(Edit);
  const std::vector<item_name> Items(AffectedItems.begin(),
                                     AffectedItems.end());
  return rebuildItems(Current, Items, merge(AffectedItems, Edit), Offset)
      .Config;
}

void config_tables::remove(const std::string &Name) {
  const auto Found = Files.find(Name);
  if (Found == Files.end())
    return;
  for (const item_name &Item : Found->second.Items) {
    const auto Definer = FilesByItem.find(Item);
    Definer->second.erase(Name);
    if (Definer->second.empty())
      FilesByItem.erase(Definer);
  }
  IrregularFiles -= Found->second.IsRegular ? 0 : 1;
  Files.erase(Found);
}

void config_tables::commit(edit &&Edit) {
  for (const std::string &Name : Edit.Deletes)
    remove(Name);
  for (auto &[Name, File] : Edit.Upserts) {
    remove(Name);
    for (const item_name &Item : File.Items)
      FilesByItem[Item].insert(Name);
    IrregularFiles += File.IsRegular ? 0 : 1;
    Files[Name] = std::move(File);
  }
}

void config_tables::reset(std::span<const config_file> Newer) {
  Files.clear();
  FilesByItem.clear();
  IrregularFiles = 0;
  edit Edit;
  for (const config_file &File : Newer)
    Edit.Upserts.emplace(File.Name,
                         parse(File.Name, File.Text, Edit.IsReadable));
  commit(std::move(Edit));
}

} // namespace clementinelane
