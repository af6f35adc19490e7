#ifndef ALMONDGATE_ENTRY_ENTRY_OPTIONS_HPP
#define ALMONDGATE_ENTRY_ENTRY_OPTIONS_HPP

#include "almondgate/core/duration_ms.hpp"
#include "almondgate/core/id.hpp"

namespace almondgate::entry {

/// Settings of an EntryCore.
struct EntryOptions {
  core::ProcessId Self;
  /// New work is refused once the view was last confirmed longer ago.
  core::DurationMs FreshFor{3000};
  /// A grant that is older when it arrives is given back unused.
  core::DurationMs GrantTtl{2000};
  /// Pause before a request asks again for a slot.
  core::DurationMs AskAgainAfter{50};
  /// Attempts on endpoints for one request.
  int MaxAttempts = 3;
  /// Requests that may be open at once.
  size_t MaxOpen = 20000;

  bool operator==(const EntryOptions &) const = default;
};

} // namespace almondgate::entry

#endif
