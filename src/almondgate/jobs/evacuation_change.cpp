#include "almondgate/jobs/evacuation_change.hpp"
#include "almondgate/jobs/name_limits.hpp"

#include <algorithm>

namespace almondgate::jobs {

namespace {

constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7f;

bool isControl(unsigned char c) { return c < FirstPrintable || c == Delete; }

bool isZoneCharacter(unsigned char c) {
  return c >= FirstPrintable && c < Delete && c != '/';
}

core::Error invalid(std::string text) {
  return {core::ErrorCode::InvalidArgument, std::move(text)};
}

bool isShortText(const std::string &text, size_t limit) {
  return text.size() <= limit &&
         std::none_of(text.begin(), text.end(),
                      [](char c) { return isControl(c); });
}

} // namespace

core::Status checkEvacuation(const EvacuationChange &change) {
  const auto &zone = change.Zone.str();
  if (zone.empty() || zone.size() > MaxZoneBytes ||
      !std::all_of(zone.begin(), zone.end(),
                   [](char c) { return isZoneCharacter(c); }))
    return invalid("the name of a zone must be 1 to " +
                   std::to_string(MaxZoneBytes) +
                   " printable ASCII characters other than '/'");
  if (!isShortText(change.By, MaxNameBytes) ||
      !isShortText(change.Reason, MaxReasonBytes))
    return invalid("a reason must have at most " +
                   std::to_string(MaxReasonBytes) +
                   " bytes and no control characters");
  return core::ok();
}

} // namespace almondgate::jobs
