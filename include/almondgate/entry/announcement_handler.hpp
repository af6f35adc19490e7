#ifndef ALMONDGATE_ENTRY_ANNOUNCEMENT_HANDLER_HPP
#define ALMONDGATE_ENTRY_ANNOUNCEMENT_HANDLER_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/model/announcement.hpp"
#include "almondgate/model/view.hpp"
#include "almondgate/state/change.hpp"

#include <functional>

namespace almondgate::entry {

/// What an AnnouncementHandler asks of the world around it.
struct AnnouncementHooks {
  using OnDone = std::function<void(core::Status)>;

  std::function<const model::View &()> View;
  /// Hands a change to the control leader.
  std::function<void(const state::Change &, OnDone)> Propose;
  /// Tells the owner of the VM's pool.
  std::function<void(const core::Address &, const model::Announcement &,
                     OnDone)>
      Report;
};

/// Takes endpoints' announcements: what is new of a VM goes to the control
/// members, all of it to the owner of its pool.
class AnnouncementHandler {
public:
  explicit AnnouncementHandler(AnnouncementHooks hooks);

  /// `done` is called once both have it. Errors given: InvalidArgument,
  /// Unavailable.
  void announce(const model::Announcement &announcement,
                const AnnouncementHooks::OnDone &done);

private:
  void report(const model::Announcement &announcement,
              const AnnouncementHooks::OnDone &done);

  const AnnouncementHooks Hooks;
};

} // namespace almondgate::entry

#endif
