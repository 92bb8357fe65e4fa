/// @file
/// A caller on a UDP socket; sprays its packets over all entries.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/caller_flow.h"
#include "net/udp_socket.h"
#include "wire/datagram_codec.h"

namespace corianderplank {

/// Receives the events of one flow.
class flow_observer {
 public:
  virtual ~flow_observer() = default;
  /// @param flow the flow.
  /// @param outcome the end of a piece of work.
  virtual void OnOutcome(flow_id flow, const request_outcome& outcome) = 0;
  /// @param flow the flow.
  /// @param request_id the feed.
  /// @param position the message's number.
  /// @param message the message.
  virtual void OnFeedMessage(flow_id flow,
                             std::uint64_t request_id,
                             std::uint64_t position,
                             std::string_view message) = 0;
  /// @param flow the flow.
  /// @param code why it broke.
  virtual void OnBroken(flow_id flow, result_code code) = 0;
};

/// Many flows on one socket. Used on its loop's thread only.
class udp_caller {
 public:
  /// @param loop the loop to run on.
  /// @param entries addresses of the entries.
  /// @param seed seed of the choice of entries.
  /// @param counters counts repeats, retries and moves.
  /// @param impaired faults to rehearse, or null.
  udp_caller(event_loop& loop,
             std::vector<std::uint32_t> entries,
             std::uint64_t seed,
             counters& counters,
             impairment* impaired);
  ~udp_caller();
  udp_caller(const udp_caller&) = delete;
  udp_caller& operator=(const udp_caller&) = delete;

  /// @param service the service.
  /// @param port its port at the entries.
  /// @param flow a number that no other flow has, not 0.
  /// @param observer receives the events of the flow; must outlive it.
  void Open(service_id service,
            std::uint16_t port,
            flow_id flow,
            flow_observer& observer);

  /// @param flow an open flow.
  /// @param spec the work.
  void Submit(flow_id flow, request_spec spec);

  /// Ends a flow; late packets are answered for a while.
  /// @param flow the flow.
  void Close(flow_id flow);

  /// @return whether an entry has yet to note how some work ended.
  bool HasPendingVerdicts() const;

  /// Sends what is queued.
  void Flush();

 private:
  struct held_flow;

  void OnDatagram(std::string_view datagram);
  void SendPacket(std::uint16_t port, const packet& value);
  void Tick();

  std::vector<std::uint32_t> entries_;
  std::uint64_t seed_;
  std::uint64_t draws_ = 0;
  counters& counters_;
  retry_budget budget_;
  datagram_encoder encoder_;
  std::unique_ptr<udp_socket> socket_;
  std::unordered_map<flow_id, std::unique_ptr<held_flow>, identifier_hash>
      flows_;
};

}  // namespace corianderplank
