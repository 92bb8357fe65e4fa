// Starts and ends the system's processes.
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

#include "standins.h"

namespace review {

std::string processes::Common(unsigned machine,
                              const std::string& zone,
                              bool first_start) const {
  const std::string ip = FormatIp(world_.Ip(machine));
  std::string seed_list;
  for (const unsigned seed : seeds) {
    seed_list += seed_list.empty() ? "" : ",";
    seed_list +=
        "\"" + Format({world_.Ip(seed), world_.control_port}) + "\"";
  }
  // As the templates deploy/*.toml.in are filled in.
  return "name = \"machine-" + std::to_string(machine) +
         "\"\nfailure_domain = \"" + zone +
         "\"\nfirst_start = " + (first_start ? "1" : "0") + "\npackets = \"" +
         ip + ":" + std::to_string(world_.datagram_port) +
         "\"\ndelivery_port = " + std::to_string(world_.delivery_port) +
         "\npeer_port = " + std::to_string(world_.peer_port) +
         "\nreadiness = \"" + ip + ":" + std::to_string(world_.ready_port) +
         "\"\nmetrics_port = " + std::to_string(world_.peer_port) +
         "\nseeds = [" + seed_list +
         "]\nlongest_flow_s = 60\nstop_limit_s = 6\nlink_mbps = 1000.0\n";
}

void processes::StartEntry(unsigned machine,
                           const std::string& zone,
                           const store& platform,
                           bool first_start) {
  Start(machine, "target/Source/corianderplank_packet_entry",
        Common(machine, zone, first_start) + "belief = \"" +
            Format({world_.Ip(machine), world_.control_port}) +
            "\"\nplatform = \"" + platform.Address() + "\"\n");
}

void processes::StartAgent(unsigned machine,
                           const std::string& zone,
                           const std::string& service,
                           bool first_start) {
  const std::uint32_t ip = world_.Ip(machine);
  Start(machine, "target/Source/corianderplank_packet_agent",
        Common(machine, zone, first_start) + "service = \"" + service +
            "\"\ntarget = \"" + Format({ip, world_.app_port}) +
            "\"\noutbound = \"" + Format({ip, world_.outbound_port}) + "\"\n");
}

void processes::Start(unsigned machine,
                      const std::string& program,
                      const std::string& settings) {
  const std::string path =
      world_.folder + "/machine-" + std::to_string(machine) + ".toml";
  std::ofstream(path) << settings;
  const std::string log =
      world_.folder + "/machine-" + std::to_string(machine) + ".log";
  const int child = ::fork();
  if (child == 0) {
    // The process ends with the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, 1);
    ::dup2(output, 2);
    ::execl(program.c_str(), program.c_str(), "--settings", path.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  running_[machine] = child;
  world_.log->Line("machine %u (%s) starts %s", machine,
                   FormatIp(world_.Ip(machine)).c_str(), program.c_str());
}

bool processes::IsRunning(unsigned machine) {
  const auto found = running_.find(machine);
  if (found == running_.end()) {
    return false;
  }
  int status = 0;
  if (::waitpid(found->second, &status, WNOHANG) == found->second) {
    world_.log->Line("machine %u: the process has ended, status %d", machine,
                     status);
    running_.erase(found);
    return false;
  }
  return true;
}

void processes::Signal(unsigned machine, int signal) {
  const auto found = running_.find(machine);
  if (found != running_.end()) {
    world_.log->Line("machine %u gets signal %d", machine, signal);
    ::kill(found->second, signal);
  }
}

void processes::Stop(unsigned machine, millis grace) {
  Signal(machine, SIGTERM);
  if (!world_.loop.RunUntil(grace, [&] { return !IsRunning(machine); })) {
    Signal(machine, SIGKILL);
    world_.loop.RunUntil(millis(2000), [&] { return !IsRunning(machine); });
  }
}

void processes::EndAll() {
  for (const auto& [machine, child] : running_) {
    ::kill(child, SIGKILL);
    ::kill(child, SIGCONT);
  }
  for (const auto& [machine, child] : running_) {
    ::waitpid(child, nullptr, 0);
  }
  running_.clear();
}

}  // namespace review
