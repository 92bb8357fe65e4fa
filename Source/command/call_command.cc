#include "command/call_command.h"

#include <iostream>
#include <random>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "caller/test_content.h"
#include "caller/udp_caller.h"
#include "command/arguments.h"

namespace corianderplank {
namespace {

/// Prints what happens and stops the loop at the end.
class call_observer : public flow_observer {
 public:
  call_observer(event_loop& loop, bool json) : loop_(loop), json_(json) {}

  void OnOutcome(flow_id flow, const request_outcome& outcome) override {
    nlohmann::ordered_json page;
    page["outcome"] = OutcomeName(outcome.outcome);
    page["reason"] = ResultCodeName(outcome.code);
    page["code"] = static_cast<int>(outcome.code);
    page["latency_ms"] = static_cast<double>(outcome.latency.count()) / 1000.0;
    page["flow"] = flow.value;
    page["answer"] = outcome.answer;
    if (json_) {
      std::cout << page.dump() << '\n';
    } else {
      std::cout << "outcome: " << OutcomeName(outcome.outcome) << '\n'
                << "reason: " << ResultCodeName(outcome.code) << " ("
                << static_cast<int>(outcome.code) << ")\n"
                << "latency: " << page["latency_ms"] << " ms\n"
                << "answer: " << outcome.answer << '\n';
    }
    all_answered_ = all_answered_ && outcome.outcome == outcome_kind::answered;
    if (--wanted_ == 0) {
      loop_.Stop();
    }
  }

  void OnFeedMessage(flow_id /*flow*/,
                     std::uint64_t /*request_id*/,
                     std::uint64_t position,
                     std::string_view message) override {
    if (!json_) {
      std::cout << "message " << position << ": " << message << std::endl;
    }
  }

  void OnBroken(flow_id /*flow*/, result_code code) override {
    std::cout << "broken: " << ResultCodeName(code) << '\n';
    all_answered_ = false;
    loop_.Stop();
  }

  void SetWanted(std::uint32_t wanted) { wanted_ = wanted; }
  bool AllAnswered() const { return all_answered_ && wanted_ == 0; }

 private:
  event_loop& loop_;
  bool json_;
  bool all_answered_ = true;
  std::uint32_t wanted_ = 1;
};

/// The class of a service to send in.
struct class_choice {
  const service* of = nullptr;
  std::uint8_t number = 0;
};

class_choice FindClass(const environment_document& document,
                       const std::string& service_name,
                       const std::string& class_name) {
  for (const service& item : document.services) {
    for (std::size_t index = 0; index < item.classes.size(); ++index) {
      const bool class_fits =
          class_name.empty() || item.classes[index].name == class_name;
      if (item.name == service_name && class_fits) {
        return {&item, static_cast<std::uint8_t>(index)};
      }
    }
  }
  return {};
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "corianderplank call",
      "Sends one request, feed or upload.\n"
      "Example: corianderplank call --document steppe.toml --entries 127.0.1.1"
      " --service crew-tracking --class landing-report\n");
  const auto text = [](const char* fallback) {
    return cxxopts::value<std::string>()->default_value(fallback);
  };
  options.add_options()("document", "environment document", text(""))(
      "entries", "addresses of the entries, with commas", text(""))(
      "service", "service", text(""))(
      "class", "class of work; the service's first if not given", text(""))(
      "count", "messages of a feed, chunks of an upload",
      cxxopts::value<std::uint32_t>()->default_value("5"))(
      "idempotent", "the request may run more than once")(
      "service-ms", "service time asked of a stand-in",
      cxxopts::value<std::int64_t>()->default_value("10"))(
      "timeout-ms", "time that it may take",
      cxxopts::value<std::int64_t>()->default_value("5000"))(
      "json", "print JSON")("help", "show this");
  return options;
}

void SubmitAll(udp_caller& caller,
               flow_id flow,
               const class_choice& choice,
               const cxxopts::ParseResult& arguments,
               std::uint32_t pieces) {
  const work_kind work = choice.of->classes[choice.number].work;
  for (std::uint32_t piece = 0; piece < pieces; ++piece) {
    work_order order;
    order.service = choice.of->name;
    order.request_id = flow.value + piece;
    order.duration =
        std::chrono::milliseconds(arguments["service-ms"].as<std::int64_t>());
    order.answer_bytes = 40;
    request_spec spec;
    spec.request_id = order.request_id;
    spec.work = work;
    spec.traffic_class = choice.number;
    spec.idempotent = arguments.count("idempotent") > 0;
    spec.timeout =
        std::chrono::milliseconds(arguments["timeout-ms"].as<std::int64_t>());
    spec.position = work == work_kind::upload ? piece : 0;
    spec.count =
        work == work_kind::feed ? arguments["count"].as<std::uint32_t>() : 0;
    spec.payload = work == work_kind::feed ? "" : FormatWorkOrder(order);
    caller.Submit(flow, std::move(spec));
  }
}

}  // namespace

exit_code call_command::Run(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return exit_code::success;
  }
  const auto document = LoadDocument(arguments["document"].as<std::string>());
  const auto entries = ParseAddresses(arguments["entries"].as<std::string>());
  if (!document || entries.empty()) {
    std::cerr << "call: --document FILE and --entries ADDRESSES are needed\n";
    return exit_code::usage;
  }
  const class_choice choice =
      FindClass(*document, arguments["service"].as<std::string>(),
                arguments["class"].as<std::string>());
  if (choice.of == nullptr) {
    std::cerr << "call: --service = " << arguments["service"].as<std::string>()
              << " --class = " << arguments["class"].as<std::string>()
              << ": accepted is a service and class of the document\n";
    return exit_code::usage;
  }
  const bool is_upload =
      choice.of->classes[choice.number].work == work_kind::upload;
  const std::uint32_t pieces =
      is_upload ? arguments["count"].as<std::uint32_t>() : 1;
  std::random_device random;
  const flow_id flow{(std::uint64_t{random()} << 32) | 1};
  event_loop loop;
  counters counted;
  udp_caller caller(loop, entries, random(), counted, nullptr);
  call_observer observer(loop, arguments.count("json") > 0);
  observer.SetWanted(pieces);
  loop.OnStopSignal([&loop] { loop.Stop(); });
  loop.Post([&] {
    caller.Open(choice.of->id, choice.of->port, flow, observer);
    SubmitAll(caller, flow, choice, arguments, pieces);
    caller.Flush();
  });
  loop.Run();
  caller.Close(flow);
  caller.Flush();
  return observer.AllAnswered() ? exit_code::success : exit_code::failure;
}

}  // namespace corianderplank
