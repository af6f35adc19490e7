#include "text_table.hpp"

#include <algorithm>
#include <vector>

namespace almondgate::ctl {

using nlohmann::json;

namespace {

std::string formatCell(const json &value) {
  if (value.is_string())
    return value.get<std::string>();
  if (value.is_object() && value.contains("Ip"))
    return value["Ip"].get<std::string>() + ":" + value["Port"].dump();
  if (value.is_object() && value.contains("Slots"))
    return value["Slots"].dump() + " slots";
  return value.dump();
}

/// Formats rows as aligned columns; the first row is the header.
std::string formatTable(const std::vector<std::vector<std::string>> &rows) {
  std::vector<size_t> widths;
  for (const auto &row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string out;
  for (const auto &row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size())
        line += std::string(widths[i] - row[i].size() + 2, ' ');
    }
    out += line + "\n";
  }
  return out;
}

} // namespace

std::string formatObjects(const json &objects) {
  if (objects.empty())
    return "nothing\n";
  std::vector<std::string> names;
  for (const auto &[name, value] : objects.front().items())
    if (name != "Steps" && name != "ReleasedBoot")
      names.push_back(name);
  std::vector<std::vector<std::string>> rows = {names};
  for (const auto &object : objects) {
    std::vector<std::string> row;
    row.reserve(names.size());
    for (const auto &name : names)
      row.push_back(formatCell(object.at(name)));
    rows.push_back(std::move(row));
  }
  return formatTable(rows);
}

} // namespace almondgate::ctl
