#ifndef ALMONDGATE_STORAGE_FOLDER_NAMES_HPP
#define ALMONDGATE_STORAGE_FOLDER_NAMES_HPP

#include <algorithm>
#include <string>
#include <vector>

namespace almondgate::storage {

/// Names in a data folder. A snapshot and its log end with the base index.
inline const std::string IdentityName = "identity";
inline const std::string LockName = "lock";
inline const std::string LogPrefix = "log-";
inline const std::string SnapshotPrefix = "snapshot-";
inline const std::string TemporarySuffix = ".tmp";
inline const std::string DamagedPrefix = "damaged-";

inline std::string joinPath(const std::string &folder,
                            const std::string &name) {
  return folder + "/" + name;
}

inline bool contains(const std::vector<std::string> &names,
                     const std::string &name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace almondgate::storage

#endif
