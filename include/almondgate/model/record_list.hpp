#ifndef ALMONDGATE_MODEL_RECORD_LIST_HPP
#define ALMONDGATE_MODEL_RECORD_LIST_HPP

#include "almondgate/model/view.hpp"

#include <optional>
#include <string>
#include <vector>

namespace almondgate::model {

/// Records of one kind with the revision at which they were read.
struct RecordList {
  uint64_t Revision = 0;
  std::vector<Record> Items;

  bool operator==(const RecordList &) const = default;
};

/// Returns the records of a table by its plural name, such as "teams"; empty
/// for an unknown name.
std::optional<RecordList> listRecords(const View &view,
                                      const std::string &table);

} // namespace almondgate::model

#endif
