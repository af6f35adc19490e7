#ifndef ALMONDGATE_JOBS_CONFIG_ANSWER_HPP
#define ALMONDGATE_JOBS_CONFIG_ANSWER_HPP

#include <cstdint>
#include <string>

namespace almondgate::jobs {

/// The configuration as an operator reads it, and who answered.
struct ConfigAnswer {
  uint64_t Version = 0;
  /// The text that it was parsed from; empty before the first configuration.
  std::string Source;
  /// The leader that answered, and its term.
  std::string Leader;
  uint64_t Term = 0;

  bool operator==(const ConfigAnswer &) const = default;
};

} // namespace almondgate::jobs

#endif
