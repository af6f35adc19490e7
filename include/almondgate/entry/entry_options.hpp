#ifndef ALMONDGATE_ENTRY_ENTRY_OPTIONS_HPP
#define ALMONDGATE_ENTRY_ENTRY_OPTIONS_HPP

#include "almondgate/core/duration_ms.hpp"
#include "almondgate/core/id.hpp"

namespace almondgate::entry {

/// Settings of an EntryCore.
struct EntryOptions {
  core::ProcessId Self;
  /// New requests are refused if the view was last confirmed longer ago.
  core::DurationMs MaxViewAge{3000};
  /// A grant that is older on arrival is returned unused.
  core::DurationMs GrantTtl{2000};
  /// Delay before a request retries its grant.
  core::DurationMs GrantRetryDelay{50};
  /// Maximum number of dispatches of one request.
  int MaxAttempts = 3;
  /// Maximum number of open requests.
  size_t MaxOpen = 20000;

  bool operator==(const EntryOptions &) const = default;
};

} // namespace almondgate::entry

#endif
