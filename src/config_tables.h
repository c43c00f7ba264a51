#pragma once

#include "configuration.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace clementinelane {

/// Caches the parsed tables of each file of the folder, so that the cost of a
/// change depends on the files it touches and not on the whole folder.
///
/// Load: 25,000 changes a day to a folder of 5,800 endpoints, evaluated by
/// every control. Harm prevented: parsing the whole folder for each change
/// would take more than control's share of a core. Where a change can't be
/// evaluated by its own items alone, rebuild() returns null and the caller
/// parses the folder.
class config_tables {
public:
  /// One file, parsed.
  struct file_tables {
    toml::table Root;
    std::vector<item_name> Items;
    bool IsRegular = true; ///< holds only tables of known sections
  };
  /// Files written and removed by one change.
  struct edit {
    std::map<std::string, file_tables> Upserts;
    std::vector<std::string> Deletes;
    bool IsReadable = true;
  };

  static edit prepare(const std::map<std::string, std::string> &Upserts,
                      std::span<const std::string> Deletes);
  /// The configuration after `Edit`; null where only a parse of the whole
  /// folder can validate it.
  configuration_ptr rebuild(const configuration &Current, const edit &Edit,
                            std::uint64_t Offset) const;
  void commit(edit &&Edit);
  /// Replaces all cached tables by those of `Files`.
  void reset(std::span<const config_file> Files);

private:
  static file_tables parse(std::string_view Name, std::string_view Text,
                           bool &IsReadable);
  std::set<item_name> affectedItems(const edit &Edit) const;
  toml::table merge(const std::set<item_name> &Items, const edit &Edit) const;
  void remove(const std::string &Name);

  std::map<std::string, file_tables> Files;
  std::map<item_name, std::set<std::string>> FilesByItem;
  std::size_t IrregularFiles = 0;
};

} // namespace clementinelane
