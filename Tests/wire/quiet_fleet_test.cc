/// @file
/// A fleet of entries without faults, whose messages pass through the codec:
/// one entry reads the store for all, and no message is refused. Answers the
/// pattern that a decoder refuses valid messages and every entry falls back to
/// reads of its own.

#include <doctest/doctest.h>

#include <cstring>
#include <map>
#include <vector>

#include "core/entry_membership.h"
#include "core/fleet_state.h"
#include "core/reader_schedule.h"
#include "wire/mesh_codec.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const time_point kStart = time_point() + 1h;
constexpr milliseconds kStep{10};
/// Lead, day and end of a quiet day.
constexpr milliseconds kDuration{56000};
constexpr std::size_t kTargets = 10;
/// Period at which a row of the store changes.
constexpr milliseconds kChangePeriod{300};

struct quiet_entry {
  explicit quiet_entry(member_address address)
      : address(address),
        state({60s, 2s}, true),
        schedule(address, reader_periods()) {}

  member_address address;
  fleet_state state;
  reader_schedule schedule;
  entry_membership members;
  mesh_encoder encoder;
};

/// Entries whose datagrams arrive at once, and a store whose rows change.
struct quiet_fleet {
  explicit quiet_fleet(std::uint32_t size) {
    for (std::uint32_t address = 1; address <= size; ++address) {
      entries.push_back(std::make_unique<quiet_entry>(address));
      entries.back()->schedule.SetPeers(size - 1);
    }
    rows.resize(kTargets);
    for (std::uint64_t index = 0; index < kTargets; ++index) {
      rows[index].id = {index + 1};
      rows[index].revision = ++revision;
    }
  }

  void Run() {
    for (; now < kStart + kDuration; now += kStep) {
      if (now.time_since_epoch() % kChangePeriod == 0ms) {
        fleet_target& changed = rows[revision % kTargets];
        changed.revision = ++revision;
      }
      for (const auto& entry : entries) {
        if (entry->schedule.IsDue(now)) {
          Read(*entry);
        }
      }
    }
  }

  void Read(quiet_entry& reader) {
    ++reads;
    reader.schedule.OnReadBegin(now);
    const source_revision base = reader.state.Revision();
    reader.state.ApplyList(now, now, revision, rows);
    reader.schedule.OnReadEnd(now, true);
    fleet_update update = reader.state.UpdateSince(now, base);
    update.reader = reader.address;
    std::vector<member_address> receivers;
    for (const auto& entry : entries) {
      if (entry->address != reader.address) {
        receivers.push_back(entry->address);
      }
    }
    Broadcast(reader, update, receivers);
  }

  void Broadcast(quiet_entry& sender,
                 const fleet_update& update,
                 const std::vector<member_address>& receivers) {
    const std::string bytes = EncodeFleetUpdate(update, now);
    mesh_message message;
    message.kind = mesh_kind::fleet_update;
    message.payload = bytes;
    for (relay_branch& branch : SplitReceivers(receivers)) {
      message.members = std::move(branch.rest);
      Receive(*entries[branch.head - 1], sender.encoder.Encode(message));
    }
  }

  void Receive(quiet_entry& receiver, std::string_view datagram) {
    std::vector<std::uint64_t> buffer(datagram.size() / sizeof(std::uint64_t) +
                                      1);
    std::memcpy(buffer.data(), datagram.data(), datagram.size());
    const auto message = DecodeMesh(
        {reinterpret_cast<const char*>(buffer.data()), datagram.size()});
    const auto update = message ? DecodeFleetUpdate(message->payload, now)
                                : std::optional<fleet_update>();
    if (!update) {
      ++refused_messages;
      return;
    }
    Broadcast(receiver, *update, message->members);
    if (receiver.state.Revision() != 0 &&
        receiver.state.ApplyUpdate(now, *update) == update_result::applied) {
      receiver.schedule.OnPeerRead(now, update->reader, update->age);
    }
  }

  std::vector<std::unique_ptr<quiet_entry>> entries;
  std::vector<fleet_target> rows;
  std::uint64_t revision = 0;
  time_point now = kStart;
  int reads = 0;
  int refused_messages = 0;
};

TEST_CASE("a quiet fleet makes the calls of one reader and refuses nothing") {
  // The calls that a quiet day took with one reader.
  const std::map<std::uint32_t, int> max_reads_by_size{{6, 87}, {59, 165}};
  for (const auto& bound : max_reads_by_size) {
    CAPTURE(bound.first);
    quiet_fleet fleet(bound.first);
    fleet.Run();
    CHECK(fleet.refused_messages == 0);
    CHECK(fleet.reads <= bound.second);
  }
}

}  // namespace
}  // namespace corianderplank
