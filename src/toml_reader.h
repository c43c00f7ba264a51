#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace clementinelane {

/// An error in a TOML file and its position.
struct file_error {
  std::string File;
  unsigned Line = 0; ///< counted from 1; 0: the error concerns the whole file
  std::string Key;   ///< dotted path of the key
  std::string Message;
};

/// Formats as "file:line: key: message", without the line if it is 0 and
/// without the key if it is empty.
std::string formatError(const file_error &Error);

/// Parses `Text`. On a syntax error, adds it to `Errors` and returns an empty
/// table.
toml::table parseToml(std::string_view File, std::string_view Text,
                      std::vector<file_error> &Errors);

/// Merges `From` into `Into`, table by table; a later value replaces an
/// earlier one. Nodes are moved because copying would lose their source file
/// and line.
void mergeToml(toml::table &Into, toml::table &&From);

/// Reads the keys of one table into variables and reports each key that is
/// missing, of the wrong type, out of range or unknown.
class section_reader {
public:
  section_reader(const toml::table &Table, std::string Path,
                 std::vector<file_error> &Errors)
      : Table(Table), Path(std::move(Path)), Errors(Errors) {}

  section_reader &text(std::string_view Key, std::string &Out,
                       bool Required = false);
  section_reader &number(std::string_view Key, double &Out, double Min,
                         double Max);
  section_reader &integer(std::string_view Key, std::uint64_t &Out,
                          std::uint64_t Min, std::uint64_t Max);
  section_reader &boolean(std::string_view Key, bool &Out);
  section_reader &texts(std::string_view Key, std::vector<std::string> &Out);
  section_reader &numbers(std::string_view Key, std::vector<double> &Out);
  /// Reads an integer number of milliseconds, at most `Max`.
  section_reader &millis(std::string_view Key, std::chrono::milliseconds &Out,
                         std::uint64_t Max);
  /// Calls `Each` with name, table and dotted path for every table below `Key`.
  section_reader &
  tables(std::string_view Key,
         const std::function<void(std::string_view, const toml::table &,
                                  const std::string &Path)> &Each);
  /// Calls `Each` with the table at `Key` and its dotted path, if it exists.
  section_reader &
  table(std::string_view Key,
        const std::function<void(const toml::table &, const std::string &Path)>
            &Each);
  /// Reports every key of the table that no earlier call has read.
  void finish();

  /// Adds an error at `Key`, or at the table itself if `Key` is empty.
  void report(std::string_view Key, std::string Message);

private:
  const toml::node *findKey(std::string_view Key);
  std::string pathOf(std::string_view Key) const;

  const toml::table &Table;
  std::string Path;
  std::vector<file_error> &Errors;
  std::vector<std::string> KnownKeys;
};

/// An error at the source position of `Node`, whose dotted path is `Path`.
file_error errorAt(const toml::node &Node, std::string Path,
                   std::string Message);

} // namespace clementinelane
