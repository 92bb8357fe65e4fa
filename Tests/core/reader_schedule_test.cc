/// @file
/// Tests of reader_schedule: one entry of a group reads the store, and another
/// one takes over in time if the reader fails.

#include <doctest/doctest.h>

#include <vector>

#include "core/reader_schedule.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const time_point kStart = time_point() + 1h;
constexpr milliseconds kStep{10};
/// Limit on the propagation of a change, less the time for a read and its
/// broadcast.
constexpr milliseconds kOldestAllowed{2500};
/// Requests per second to a failing source: 2% of the 2,000 per second that the
/// smallest store serves.
constexpr int kMaxOutageRequestsPerSecond = 40;

/// One entry of a group in virtual time.
struct virtual_reader {
  explicit virtual_reader(std::uint32_t address)
      : address(address), schedule(address, reader_periods()) {}

  std::uint32_t address;
  reader_schedule schedule;
  bool reads_fail = false;
  bool frozen = false;
  bool isolated = false;
  time_point confirmed_at = kStart;
  int reads = 0;
};

/// A group; reads end at once, datagrams arrive at once.
struct virtual_group {
  explicit virtual_group(std::uint32_t size) {
    for (std::uint32_t address = 1; address <= size; ++address) {
      readers.emplace_back(address);
      readers.back().schedule.SetPeers(size - 1);
    }
  }

  /// Requests a confirmation in every entry.
  void RequestConfirmations() {
    for (virtual_reader& reader : readers) {
      reader.schedule.OnConfirmationRequested(now);
    }
  }

  void Run(milliseconds duration) {
    for (const time_point end = now + duration; now < end; now += kStep) {
      for (virtual_reader& reader : readers) {
        if (!reader.frozen && reader.schedule.IsDue(now)) {
          Read(reader);
        }
      }
      for (const virtual_reader& reader : readers) {
        const bool counts =
            !reader.frozen && !(reader.reads_fail && reader.isolated);
        if (counts && now - reader.confirmed_at > oldest) {
          oldest = std::chrono::duration_cast<milliseconds>(
              now - reader.confirmed_at);
        }
      }
    }
  }

  void Read(virtual_reader& reader) {
    ++reader.reads;
    reader.schedule.OnReadBegin(now);
    reader.schedule.OnReadEnd(now, !reader.reads_fail);
    if (reader.reads_fail) {
      return;
    }
    reader.confirmed_at = now;
    for (virtual_reader& peer : readers) {
      if (&peer != &reader && !peer.frozen && !peer.isolated &&
          !reader.isolated) {
        peer.confirmed_at = now;
        peer.schedule.OnPeerRead(now, reader.address, 0ms);
      }
    }
  }

  int Reads() const {
    int total = 0;
    for (const virtual_reader& reader : readers) {
      total += reader.reads;
    }
    return total;
  }

  std::vector<virtual_reader> readers;
  time_point now = kStart;
  milliseconds oldest{0};
};

TEST_CASE("a group of sixteen reads about as often as one entry") {
  virtual_group group(16);
  group.Run(60s);
  CHECK(group.Reads() < 60000 / 700 + 2 * 16);
  CHECK(group.oldest <= 710ms);
}

TEST_CASE("a suspended, refused or isolated reader is replaced in time") {
  for (int fault = 0; fault < 3; ++fault) {
    CAPTURE(fault);
    virtual_group group(6);
    group.Run(10s);
    group.readers[0].frozen = fault == 0;
    group.readers[0].reads_fail = fault == 1;
    group.readers[0].isolated = fault == 2;
    group.Run(10s);
    CHECK(group.oldest < kOldestAllowed);
    group.readers[0].frozen = false;
    group.readers[0].reads_fail = false;
    group.readers[0].isolated = false;
    const int before = group.Reads();
    group.oldest = 0ms;
    group.readers[0].confirmed_at = group.now;
    group.Run(20s);
    CHECK(group.Reads() - before < 2 * 20000 / 700);
    CHECK(group.oldest < kOldestAllowed);
  }
}

TEST_CASE("the only entry that is not refused reads for all") {
  virtual_group group(6);
  for (std::size_t index = 0; index < 5; ++index) {
    group.readers[index].reads_fail = true;
  }
  group.Run(20s);
  CHECK(group.oldest < kOldestAllowed);
}

TEST_CASE("an outage causes few requests") {
  virtual_group group(6);
  group.Run(5s);
  for (virtual_reader& reader : group.readers) {
    reader.reads_fail = true;
  }
  const int before = group.Reads();
  group.Run(10s);
  CHECK(group.Reads() - before <= 6 * 10 * 2);
}

TEST_CASE("a fleet of 920 reads about as often as one entry") {
  virtual_group group(920);
  group.Run(10s);
  const int before = group.Reads();
  group.Run(30s);
  CHECK(group.Reads() - before <= 30000 / 700 + 1);
  CHECK(group.oldest <= 710ms);
}

TEST_CASE("59 entries rarely retry a failing source and notice its recovery") {
  virtual_group group(59);
  group.Run(5s);
  for (virtual_reader& reader : group.readers) {
    reader.reads_fail = true;
  }
  const int before = group.Reads();
  group.Run(10s);
  CHECK(group.Reads() - before <= kMaxOutageRequestsPerSecond * 10);
  for (virtual_reader& reader : group.readers) {
    reader.reads_fail = false;
  }
  const time_point back = group.now;
  group.Run(500ms);
  for (const virtual_reader& reader : group.readers) {
    CHECK(reader.confirmed_at >= back);
  }
}

TEST_CASE("59 entries that request a confirmation share the reads") {
  virtual_group group(59);
  group.Run(10s);
  const int before = group.Reads();
  const time_point wanted_at = group.now;
  group.RequestConfirmations();
  group.Run(200ms);
  // One step of virtual time represents the duration of a read.
  CHECK(group.Reads() - before <= 59 / 4);
  for (const virtual_reader& reader : group.readers) {
    CHECK(reader.confirmed_at >= wanted_at);
  }
}

TEST_CASE("a requested confirmation is prompt, and one read serves many") {
  reader_schedule schedule(5, reader_periods());
  schedule.OnReadBegin(kStart);
  schedule.OnReadEnd(kStart, true);
  schedule.OnPeerRead(kStart + 100ms, 1, 0ms);
  schedule.OnConfirmationRequested(kStart + 200ms);
  schedule.OnConfirmationRequested(kStart + 201ms);
  CHECK(schedule.IsDue(kStart + 202ms));
  // A peer's read that began after the request satisfies it.
  schedule.OnPeerRead(kStart + 210ms, 1, 5ms);
  CHECK_FALSE(schedule.IsDue(kStart + 211ms));
  // A peer's read that began before the request does not.
  schedule.OnConfirmationRequested(kStart + 400ms);
  schedule.OnPeerRead(kStart + 402ms, 1, 20ms);
  CHECK(schedule.IsDue(kStart + 460ms));
}

}  // namespace
}  // namespace corianderplank
