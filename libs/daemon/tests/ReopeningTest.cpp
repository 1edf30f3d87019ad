// Parts of a process that fail and are opened again.

#include "daemon/daemon.h"

#include <catch2/catch.hpp>

using namespace wasabivale;
using namespace wasabivale::daemon;

namespace {

struct Part {
  std::function<void()> m_OnFailed;
};

/// A disk that may be full: then nothing can be opened.
struct Disk {
  EventLoop m_Loop;
  bool m_Full = false;
  int m_Opened = 0;
  int m_Tried = 0;
  Reopening<Part> m_Kept{
      m_Loop.base(),
      [this](std::function<void()> OnFailed) -> Result<std::unique_ptr<Part>> {
        ++m_Tried;
        if (m_Full)
          return Error{"store.write", "log", "No space left on device"};
        ++m_Opened;
        return std::make_unique<Part>(Part{std::move(OnFailed)});
      },
      std::chrono::milliseconds(2)};

  bool turnUntil(const std::function<bool()> &Done) {
    bool Reached = false;
    const http::Timer Look(m_Loop.base(), std::chrono::milliseconds(1), true,
                           [&] {
                             Reached = Reached || Done();
                             if (Reached)
                               m_Loop.end();
                           });
    const http::Timer Late(m_Loop.base(), std::chrono::seconds(5), false,
                           [&] { m_Loop.end(); });
    m_Loop.run();
    return Reached;
  }
};

} // namespace

SCENARIO("a part that fails is opened again, and the process goes on") {
  Disk On;
  GIVEN("a disk that is full from the start") {
    On.m_Full = true;
    THEN("the caller is told: the settings may be wrong") {
      CHECK(failed(On.m_Kept.open()));
      CHECK(On.m_Kept.now() == nullptr);
    }
  }
  GIVEN("an open part") {
    REQUIRE_FALSE(failed(On.m_Kept.open()));
    WHEN("it fails, and says so twice") {
      On.m_Kept.now()->m_OnFailed();
      On.m_Kept.now()->m_OnFailed();
      THEN("it is opened once more") {
        CHECK(On.turnUntil([&] { return On.m_Opened == 2; }));
        CHECK(On.m_Kept.now() != nullptr);
        CHECK(On.m_Tried == 2);
      }
    }
    WHEN("it fails on a full disk") {
      On.m_Full = true;
      On.m_Kept.now()->m_OnFailed();
      THEN("it is tried again until there is room") {
        CHECK(On.turnUntil([&] { return On.m_Tried >= 4; }));
        CHECK(On.m_Kept.now() == nullptr);
        On.m_Full = false;
        CHECK(On.turnUntil([&] { return On.m_Opened == 2; }));
        CHECK(On.m_Kept.now() != nullptr);
      }
    }
  }
}
