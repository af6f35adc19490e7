#ifndef ALMONDGATE_SRC_CTL_TEXT_TABLE_HPP
#define ALMONDGATE_SRC_CTL_TEXT_TABLE_HPP

#include <nlohmann/json.hpp>
#include <string>

namespace almondgate::ctl {

/// Objects of one shape as a table for people; long members are left out.
std::string objectsText(const nlohmann::json &objects);

} // namespace almondgate::ctl

#endif
