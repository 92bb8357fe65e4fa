#include "command/load_command.h"

#include <fstream>
#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "command/arguments.h"
#include "command/load_run.h"

namespace corianderplank {
namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "corianderplank load",
      "Opens flows at a rate and checks every answer byte for byte.\n"
      "Example: corianderplank load --document steppe.toml --entries "
      "127.0.1.1,127.0.1.2 --rate 50 --seconds 10 --seed 7\n");
  const auto number = [](const char* fallback) {
    return cxxopts::value<double>()->default_value(fallback);
  };
  const auto text = [](const char* fallback) {
    return cxxopts::value<std::string>()->default_value(fallback);
  };
  options.add_options()("document", "environment document", text(""))(
      "entries", "addresses of the entries, with commas", text(""))(
      "rate", "new flows a second", number("50"))(
      "seconds", "how long flows are opened", number("10"))(
      "seed", "seed of arrivals",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "requests", "share of requests", number("0.7"))(
      "feeds", "share of feeds", number("0.15"))("uploads", "share of uploads",
                                                 number("0.15"))(
      "idempotent", "share of requests that are idempotent", number("0.3"))(
      "service-ms", "mean service time, exponential", number("20"))(
      "timeout-ms", "time that a request may take", number("8000"))(
      "upload-timeout-ms", "time that a chunk of an upload may take",
      number("30000"))("feed-messages", "messages of a feed", number("60"))(
      "upload-chunks", "chunks of an upload", number("12"))(
      "loss", "datagrams lost on the way out, in thousandths", number("0"))(
      "duplicates", "datagrams doubled, in thousandths", number("0"))(
      "reorder", "datagrams put behind a later one, in thousandths",
      number("0"))("outcomes", "file for one JSON line an outcome", text(""))(
      "json", "file for the result", text(""))("help", "show this");
  return options;
}

load_options ReadOptions(const cxxopts::ParseResult& arguments) {
  const auto number = [&](const char* name) {
    return arguments[name].as<double>();
  };
  load_options load;
  load.flows_per_second = number("rate");
  load.duration =
      std::chrono::seconds(static_cast<std::int64_t>(number("seconds")));
  load.seed = arguments["seed"].as<std::uint64_t>();
  load.request_share = number("requests");
  load.feed_share = number("feeds");
  load.upload_share = number("uploads");
  load.idempotent_share = number("idempotent");
  load.mean_service_time = std::chrono::microseconds(
      static_cast<std::int64_t>(number("service-ms") * 1000));
  load.timeout = std::chrono::milliseconds(
      static_cast<std::int64_t>(number("timeout-ms")));
  load.upload_timeout = std::chrono::milliseconds(
      static_cast<std::int64_t>(number("upload-timeout-ms")));
  load.feed_messages = static_cast<std::uint32_t>(number("feed-messages"));
  load.upload_chunks = static_cast<std::uint32_t>(number("upload-chunks"));
  return load;
}

impairment_rates ReadRates(const cxxopts::ParseResult& arguments) {
  const auto rate = [&](const char* name) {
    return static_cast<std::uint32_t>(arguments[name].as<double>());
  };
  return {rate("loss"), rate("duplicates"), rate("reorder")};
}

nlohmann::ordered_json LatencyJson(const latency_histogram& histogram) {
  nlohmann::ordered_json row;
  row["count"] = histogram.Count();
  row["p50_us"] = histogram.Quantile(0.5).count();
  row["p90_us"] = histogram.Quantile(0.9).count();
  row["p99_us"] = histogram.Quantile(0.99).count();
  row["p999_us"] = histogram.Quantile(0.999).count();
  return row;
}

nlohmann::ordered_json ResultJson(const load_run& run) {
  const load_totals& totals = run.Totals();
  nlohmann::ordered_json page;
  page["flows"] = totals.flows;
  for (const outcome_kind kind : {outcome_kind::answered, outcome_kind::not_run,
                                  outcome_kind::outcome_unknown}) {
    const auto found = totals.outcomes.find(kind);
    page[std::string(OutcomeName(kind))] =
        found == totals.outcomes.end() ? 0 : found->second;
  }
  page["broken"] = totals.broken_flows;
  page["unfinished"] = totals.unfinished_flows;
  page["most_open_flows"] = totals.most_open_flows;
  page["wrong_answers"] = totals.wrong_answers;
  page["feed_messages"] = totals.feed_messages;
  page["wrong_messages"] = totals.wrong_messages;
  page["reasons"] = nlohmann::json::object();
  for (const auto& [code, count] : totals.reasons) {
    page["reasons"][std::string(ResultCodeName(code))] = count;
  }
  page["counters"] = nlohmann::json::object();
  for (const result_code_entry& entry : ResultCodeTable()) {
    const std::uint64_t count = run.Counters().Get(entry.code);
    if (count > 0) {
      page["counters"][std::string(entry.name)] = count;
    }
  }
  page["latency"]["request"] = LatencyJson(run.Latency(work_kind::request));
  page["latency"]["feed"] = LatencyJson(run.Latency(work_kind::feed));
  page["latency"]["upload"] = LatencyJson(run.Latency(work_kind::upload));
  return page;
}

}  // namespace

exit_code load_command::Run(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return exit_code::success;
  }
  const auto document = LoadDocument(arguments["document"].as<std::string>());
  const auto entries = ParseAddresses(arguments["entries"].as<std::string>());
  if (!document || entries.empty()) {
    std::cerr << "load: --document FILE and --entries ADDRESSES are needed\n";
    return exit_code::usage;
  }
  const load_options load = ReadOptions(arguments);
  impairment impaired(load.seed, ReadRates(arguments));
  load_run run(*document, load, entries,
               arguments["outcomes"].as<std::string>(), &impaired);
  run.Run();
  const nlohmann::ordered_json page = ResultJson(run);
  std::cout << page.dump(2) << '\n';
  const auto path = arguments["json"].as<std::string>();
  if (!path.empty()) {
    std::ofstream(path) << page.dump(2) << '\n';
  }
  const load_totals& totals = run.Totals();
  const bool good = totals.broken_flows == 0 && totals.unfinished_flows == 0 &&
                    totals.wrong_answers == 0 && totals.wrong_messages == 0;
  return good ? exit_code::success : exit_code::failure;
}

}  // namespace corianderplank
