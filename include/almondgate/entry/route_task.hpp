#ifndef ALMONDGATE_ENTRY_ROUTE_TASK_HPP
#define ALMONDGATE_ENTRY_ROUTE_TASK_HPP

#include "almondgate/config/settings.hpp"
#include "almondgate/entry/admin_api.hpp"
#include "almondgate/entry/announcement_handler.hpp"
#include "almondgate/entry/entry_core.hpp"
#include "almondgate/entry/evacuation_api.hpp"
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
#include <set>

namespace almondgate::entry {

/// Owns an entry's connections to endpoints, placers and control members, and
/// the state of its requests.
class RouteTask {
public:
  using Post = std::function<bool(ResponseReady)>;
  using OnReady = std::function<void()>;

  RouteTask(task::Loop &loop, const config::EntrySettings &settings, Post post,
            const std::shared_ptr<task::DescriptorBudget> &descriptors = {});

  /// Calls `ready` once, when the entry has its first confirmed view.
  core::Status start(OnReady ready);

  /// Receives the events of the FrontTask.
  task::Mailbox<FrontEvent> &mailbox() { return Inbox; }

  /// The reason why the entry can't accept requests, or an empty string.
  std::string notReady() const;

  /// Returns the state of the byte budgets of its calls to other processes.
  std::vector<core::BudgetReading> budgets() const;
  /// True if no request is open and every release was acknowledged.
  bool isIdle() const;
  std::string metricsText();

private:
  struct PendingApply {
    uint64_t Revision = 0;
    core::TimeMs Deadline;
    std::function<void()> Done;
  };

  EntryHooks coreHooks();
  ReleaseSenderHooks releaseHooks();
  AnnouncementHooks announcementHooks();
  AdminHooks adminHooks();
  JobApiHooks jobHooks();
  EvacuationApiHooks evacuationHooks();
  watch::WatcherHooks watcherHooks();
  protocol::RpcServerHooks serverHooks();

  void onView();
  void completeApplies();
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

  task::Loop &Loop;
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
  EvacuationApi Evacuations;
  task::Timer Ticker;
  std::vector<PendingApply> PendingApplies;
  OnReady Ready;
  std::map<uint64_t, core::RequestId> RequestIds;
  /// Exchanges of calls about evacuations whose callers wait for an answer.
  std::set<uint64_t> EvacuationCalls;
  task::Mailbox<FrontEvent> Inbox;
};

} // namespace almondgate::entry

#endif
