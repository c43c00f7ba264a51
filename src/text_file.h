#pragma once

#include <string>

namespace clementinelane {

/// Reads the whole file at `Path` into `Text`; returns false on failure.
bool readFile(const std::string &Path, std::string &Text);

} // namespace clementinelane
