#ifndef ALMONDGATE_SRC_CTL_TEXT_TABLE_HPP
#define ALMONDGATE_SRC_CTL_TEXT_TABLE_HPP

#include <nlohmann/json.hpp>
#include <string>

namespace almondgate::ctl {

/// Formats objects with the same members as a text table; omits Steps and
/// ReleasedBoot, which are too long for a cell.
std::string formatObjects(const nlohmann::json &objects);

} // namespace almondgate::ctl

#endif
