#ifndef ALMONDGATE_ENTRY_ANNOUNCEMENT_HANDLER_HPP
#define ALMONDGATE_ENTRY_ANNOUNCEMENT_HANDLER_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/model/announcement.hpp"
#include "almondgate/model/view.hpp"
#include "almondgate/state/change.hpp"

#include <functional>

namespace almondgate::entry {

/// Operations that AnnouncementHandler needs from its host.
struct AnnouncementHooks {
  using OnDone = std::function<void(core::Status)>;

  std::function<const model::View &()> View;
  /// Sends a change to the control leader.
  std::function<void(const state::Change &, OnDone)> Propose;
  /// Forwards the announcement to the placer that owns the VM's pool.
  std::function<void(const core::Address &, const model::Announcement &,
                     OnDone)>
      Report;
};

/// Handles announcements from endpoints: proposes a new or changed VM record to
/// the control members and forwards each announcement to the owner of its pool.
class AnnouncementHandler {
public:
  explicit AnnouncementHandler(AnnouncementHooks hooks);

  /// Calls `done` after both the control members and the owner have accepted
  /// the announcement. Errors: InvalidArgument, Unavailable.
  void announce(const model::Announcement &announcement,
                const AnnouncementHooks::OnDone &done);

private:
  void report(const model::Announcement &announcement,
              const AnnouncementHooks::OnDone &done);

  const AnnouncementHooks Hooks;
};

} // namespace almondgate::entry

#endif
