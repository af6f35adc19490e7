#include "almondgate/model/record_list.hpp"

#include <array>

namespace almondgate::model {

namespace {

// In the order of the alternatives of Record.
constexpr std::array TableNames = {
    "teams",    "pools",      "vms",    "queues",   "keys",
    "defaults", "exceptions", "owners", "portions", "waves"};
static_assert(TableNames.size() == std::variant_size_v<Record>);

} // namespace

std::optional<RecordList> listRecords(const View &view,
                                      const std::string &table) {
  for (size_t i = 0; i < TableNames.size(); ++i) {
    if (table != TableNames[i])
      continue;
    RecordList out{view.Revision, {}};
    for (auto &update : snapshotOf(view))
      if (update.Content.index() == i)
        out.Items.push_back(std::move(update.Content));
    return out;
  }
  return std::nullopt;
}

} // namespace almondgate::model
