#ifndef ALMONDGATE_ENTRY_ROUTE_TASK_HPP
#define ALMONDGATE_ENTRY_ROUTE_TASK_HPP

#include "almondgate/config/settings.hpp"
#include "almondgate/entry/admin_api.hpp"
#include "almondgate/entry/announcement_handler.hpp"
#include "almondgate/entry/entry_core.hpp"
#include "almondgate/entry/front_message.hpp"
#include "almondgate/entry/job_api.hpp"
#include "almondgate/entry/release_sender.hpp"
#include "almondgate/http/endpoint_client.hpp"
#include "almondgate/observe/metrics.hpp"
#include "almondgate/protocol/rpc_client.hpp"
#include "almondgate/protocol/rpc_server.hpp"
#include "almondgate/task/mailbox.hpp"
#include "almondgate/task/timer.hpp"
#include "almondgate/watch/watcher.hpp"

#include <functional>
#include <map>

namespace almondgate::entry {

/// Owns an entry's connections to endpoints, placers and control members, and
/// the state of its requests.
class RouteTask {
public:
  using Post = std::function<bool(ResponseReady)>;
  using OnReady = std::function<void()>;

  RouteTask(task::Loop &loop, const config::EntrySettings &settings, Post post);

  /// `ready` is called once, when the entry has its first confirmed view.
  core::Status start(OnReady ready);

  /// Where the front's events go.
  task::Mailbox<FrontEvent> &mailbox() { return Inbox; }

  /// Why the entry can't take work, or empty.
  std::string notReady() const;
  /// Nothing is open and every release was taken.
  bool isIdle() const;
  std::string metricsText();

private:
  struct Applying {
    uint64_t Revision = 0;
    core::TimeMs Until;
    std::function<void()> Done;
  };

  EntryHooks coreHooks();
  ReleaseSenderHooks releaseHooks();
  AnnouncementHooks announcementHooks();
  AdminHooks adminHooks();
  JobApiHooks jobHooks();
  watch::WatcherHooks watcherHooks();
  protocol::RpcServerHooks serverHooks();

  void onView();
  void finishApplying();
  void onEvent(const FrontEvent &event);
  void onRequestArrived(const RequestArrived &arrived);
  void onCallerDisconnected(const CallerDisconnected &gone);
  void serveCaller(uint64_t exchange, const http::Request &request);
  void serveAnnouncement(uint64_t exchange, const http::Request &request);
  void serveCancel(uint64_t exchange, const http::Request &request);
  void answer(uint64_t exchange, const http::Response &response);
  void onCall(protocol::Method method, const std::string &body,
              const protocol::Responder &respond);
  void propose(const state::Change &change, EntryHooks::OnChange done);

  const config::EntrySettings Settings;
  const model::ProcessInfo Self;
  const Post Send;
  observe::Metrics Metrics;
  protocol::RpcClient Rpc;
  protocol::RpcServer Inner;
  watch::ControlClient Control;
  watch::Watcher Watch;
  http::EndpointClient Endpoints;
  EntryCore Core;
  ReleaseSender Releases;
  AnnouncementHandler Announcements;
  AdminApi Admin;
  JobApi Jobs;
  task::Timer Ticker;
  std::vector<Applying> Waiting;
  OnReady Ready;
  std::map<uint64_t, core::RequestId> Callers;
  task::Mailbox<FrontEvent> Inbox;
};

} // namespace almondgate::entry

#endif
