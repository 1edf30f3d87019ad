#include "metrics/metrics.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace std::chrono_literals;

SCENARIO("metrics are counted and printed") {
  metrics::Registry Registry;
  GIVEN("refusals of two reasons") {
    Registry.refusals(Refusal::NoTarget).add(2);
    Registry.refusals(Refusal::QueueFull).add();
    THEN("each reason has its own line") {
      const std::string Text = Registry.print();
      CHECK(Text.find("wasabivale_refusals_total{reason=\"no_target\"} 2\n") !=
            Text.npos);
      CHECK(Text.find("wasabivale_refusals_total{reason=\"queue_full\"} 1\n") !=
            Text.npos);
    }
  }
  GIVEN("a histogram with 100 durations from 10 ms to 1 s") {
    metrics::Histogram &Values = Registry.histogram("h", "help");
    for (int I = 1; I <= 100; ++I)
      Values.record(I * 10ms);
    THEN("quantiles lie within a bin of the truth") {
      CHECK(Values.quantile(0.5) >= 500ms);
      CHECK(Values.quantile(0.5) <= 640ms);
      CHECK(Values.quantile(0.95) >= 950ms);
      CHECK(Values.quantile(0.95) <= 1260ms);
    }
    THEN("the last bucket holds everything") {
      CHECK(Registry.print().find("h_bucket{le=\"+Inf\"} 100\n") !=
            std::string::npos);
      CHECK(Registry.print().find("h_count 100\n") != std::string::npos);
    }
  }
  GIVEN("a label value with a quote") {
    Registry.counter("c", "help", {{"k", "a\"b"}}).add();
    THEN("it is escaped") {
      CHECK(Registry.print().find("c{k=\"a\\\"b\"} 1\n") != std::string::npos);
    }
  }
}
