#include "store/store.h"
#include "store_faults/store_faults.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::consensus;
using store::Fault;
using store::FaultyFiles;
using store::Store;

namespace {

struct Folder {
  std::string m_Path = fmt::format(
      "{}/wasabivale-store-{}", std::filesystem::temp_directory_path().string(),
      randomIdentity());
  ~Folder() { std::filesystem::remove_all(m_Path); }

  [[nodiscard]] std::string file(const std::string &Name) const {
    return m_Path + "/" + Name;
  }
  [[nodiscard]] std::string firstLog() const {
    return file("log-00000000000000000001");
  }
};

Result<std::unique_ptr<Store>> tryOpen(const Folder &In,
                                       store::Files &Through) {
  return Store::open(Through, In.m_Path, "test", {"c1"});
}

std::unique_ptr<Store> open(const Folder &In,
                            store::Files &Through = store::systemFiles()) {
  auto Opened = tryOpen(In, Through);
  if (failed(Opened))
    FAIL(describe(errorOf(Opened)));
  return std::move(valueOf(Opened));
}

std::unique_ptr<Store> openFresh(const Folder &In,
                                 store::Files &Through = store::systemFiles()) {
  REQUIRE(!failed(Store::format(Through, In.m_Path, "test", {"c1"})));
  return open(In, Through);
}

Record record(Index At, Term In = 1, const std::string &Payload = "payload") {
  return {At, In, RecordKind::Command, Payload};
}

Persist records(Index First, Index Last, Term In = 1) {
  Persist Made;
  for (Index At = First; At <= Last; ++At)
    Made.m_Records.push_back(record(At, In));
  return Made;
}

void save(Store &Into, const Persist &Changes) {
  REQUIRE(!failed(Into.write(Changes)));
  REQUIRE(!failed(Into.sync()));
}

std::string slurp(const std::string &Path) {
  return valueOf(store::systemFiles().read(Path));
}

void spill(const std::string &Path, const std::string &Bytes) {
  std::ofstream(Path, std::ios::binary | std::ios::trunc) << Bytes;
}

std::string errorAtOpen(const Folder &In) {
  const auto Opened = tryOpen(In, store::systemFiles());
  return failed(Opened) ? describe(errorOf(Opened)) : "";
}

} // namespace

SCENARIO("a data folder keeps what was synced") {
  Folder At;
  auto Disk = openFresh(At);
  const std::string Incarnation = Disk->identity().m_Incarnation;

  GIVEN("a vote, records, a conflict and a snapshot") {
    Persist First = records(1, 10);
    First.m_HardState = HardState{3, {"c2"}};
    save(*Disk, First);
    Persist Conflict = records(8, 9, 2);
    Conflict.m_TruncateFrom = 8;
    save(*Disk, Conflict);
    Persist Snap;
    Snap.m_Snapshot =
        std::make_shared<Snapshot>(Snapshot{5, 1, {}, "state at 5"});
    save(*Disk, Snap);
    WHEN("it is opened again") {
      Disk.reset();
      Disk = open(At);
      const PersistedState Read = Disk->takeLoaded();
      THEN("all of it is there, under the same incarnation") {
        CHECK(Disk->identity().m_Incarnation == Incarnation);
        CHECK(Read.m_HardState == HardState{3, {"c2"}});
        REQUIRE(Read.m_Records.size() == 9);
        CHECK(Read.m_Records[6] == record(7));
        CHECK(Read.m_Records[8] == record(9, 2));
        REQUIRE(Read.m_Snapshot != nullptr);
        CHECK(Read.m_Snapshot->m_Data == "state at 5");
        CHECK(Disk->bytesCut() == 0);
      }
    }
    WHEN("a snapshot of the leader replaces the log") {
      Persist Installed;
      Installed.m_Snapshot =
          std::make_shared<Snapshot>(Snapshot{50, 4, {}, "state at 50"});
      Installed.m_DropLog = true;
      save(*Disk, Installed);
      save(*Disk, records(51, 52, 4));
      Disk.reset();
      const PersistedState Read = open(At)->takeLoaded();
      THEN("the log goes on behind it") {
        REQUIRE(Read.m_Records.size() == 2);
        CHECK(Read.m_Records[0].m_Index == 51);
        CHECK(Read.m_Snapshot->m_Index == 50);
      }
    }
    WHEN("a crash comes between the leader's snapshot and the log") {
      Persist Installed;
      Installed.m_Snapshot =
          std::make_shared<Snapshot>(Snapshot{50, 4, {}, "state at 50"});
      save(*Disk, Installed);
      Disk.reset();
      Disk = open(At);
      THEN("the log that does not reach it is dropped") {
        CHECK(Disk->takeLoaded().m_Records.empty());
        save(*Disk, records(51, 51, 4));
      }
    }
    WHEN("another process opens it") {
      THEN("it is refused") { CHECK(errorAtOpen(At).find("store.lock") == 0); }
    }
  }
  GIVEN("more than one log file") {
    Persist Big;
    const std::string Payload(store::SegmentBytes / 2, 'x');
    for (Index Next = 1; Next <= 8; ++Next)
      Big.m_Records.push_back(record(Next, 1, Payload));
    save(*Disk, Big);
    THEN("records are cut and removed across files") {
      Persist Compact;
      Compact.m_Snapshot = std::make_shared<Snapshot>(Snapshot{4, 1, {}, ""});
      Compact.m_CompactTo = 4;
      save(*Disk, Compact);
      Persist Conflict;
      Conflict.m_TruncateFrom = 6;
      Conflict.m_Records = {record(6, 2)};
      save(*Disk, Conflict);
      Disk.reset();
      CHECK_FALSE(std::filesystem::exists(At.firstLog()));
      const PersistedState Read = open(At)->takeLoaded();
      REQUIRE(!Read.m_Records.empty());
      CHECK(Read.m_Records.front().m_Index <= 5);
      CHECK(Read.m_Records.back() == record(6, 2));
    }
  }
}

SCENARIO("whose disk it is") {
  Folder At;
  auto Disk = openFresh(At);
  const std::string Incarnation = Disk->identity().m_Incarnation;
  Disk.reset();

  THEN("a folder that holds a disk is not formatted") {
    CHECK(
        failed(Store::format(store::systemFiles(), At.m_Path, "test", {"c1"})));
  }
  THEN("another cluster or member is refused") {
    CHECK(failed(Store::open(store::systemFiles(), At.m_Path, "x", {"c1"})));
    CHECK(failed(Store::open(store::systemFiles(), At.m_Path, "test", {"c2"})));
  }
  THEN("an emptied folder is another disk") {
    std::filesystem::remove_all(At.m_Path);
    CHECK(openFresh(At)->identity().m_Incarnation != Incarnation);
  }
  THEN("a copy of the folder is refused") {
    const std::string Kept = At.m_Path + "-kept";
    std::filesystem::copy(At.m_Path, Kept);
    std::filesystem::rename(Kept + "/identity", At.file("restored"));
    std::filesystem::rename(At.file("restored"), At.file("identity"));
    std::filesystem::remove_all(Kept);
    CHECK(errorAtOpen(At).find("copied or restored") != std::string::npos);
  }
  THEN("a folder that was not formatted is refused") {
    std::filesystem::remove(At.file("identity"));
    CHECK(errorAtOpen(At).find("identity") != std::string::npos);
  }
}

TEST_CASE("a fault while writing fails the store for good") {
  struct Row {
    const char *m_Name;
    Fault m_Fault;
    bool m_Vote; ///< Writes the vote file rather than records.
    bool m_Fails;
  };
  const std::vector<Row> Table = {
      {"full disk, records", Fault::Full, false, true},
      {"full disk, vote", Fault::Full, true, true},
      {"short write, then full", Fault::ShortThen, false, true},
      {"short write that can go on", Fault::ShortOnce, false, false},
      {"sync error, records", Fault::Sync, false, true},
      {"sync error, vote", Fault::Sync, true, true},
      {"rename error", Fault::Rename, true, true},
      {"folder sync error", Fault::SyncFolder, true, true},
  };
  for (const Row &Each : Table) {
    INFO(Each.m_Name);
    Folder At;
    FaultyFiles Files;
    auto Disk = openFresh(At, Files);
    save(*Disk, records(1, 3));
    Persist Changes = records(4, 6);
    if (Each.m_Vote)
      Changes.m_HardState = HardState{2, {"c1"}};
    Files.m_Fault = Each.m_Fault;
    Status Done = Disk->write(Changes);
    if (!failed(Done))
      Done = Disk->sync();
    CHECK(failed(Done) == Each.m_Fails);
    Files.m_Fault = Fault::None;
    // The disk works again, but what it holds is not known.
    CHECK(failed(Disk->sync()) == Each.m_Fails);
    CHECK(failed(Disk->write(records(7, 7))) == Each.m_Fails);
    CHECK(Disk->failure().m_Step.empty() != Each.m_Fails);
    Disk.reset();
    // What was acknowledged is there after a restart.
    const PersistedState Read = open(At)->takeLoaded();
    REQUIRE(Read.m_Records.size() >= 3);
    CHECK(Read.m_Records[2] == record(3));
  }
}

TEST_CASE("damage is cut at the end and refused anywhere else") {
  Folder At;
  save(*openFresh(At), records(1, 3));
  const std::string Good = slurp(At.firstLog());
  const std::size_t RecordBytes = (Good.size() - 16) / 3;
  const std::size_t Second = 16 + RecordBytes;
  const std::size_t Third = Second + RecordBytes;
  struct Row {
    const char *m_Name;
    std::function<std::string(std::string)> m_Damage;
    std::size_t m_Records; ///< That are left; unused if it is refused.
    const char *m_Refusal; ///< Part of the error; null if it opens.
  };
  const auto Flip = [](std::size_t Byte) {
    return [Byte](std::string Bytes) {
      Bytes[Byte] = static_cast<char>(Bytes[Byte] ^ 1);
      return Bytes;
    };
  };
  const std::string AtSecond = fmt::format("byte {}", Second);
  const std::string AtThird = fmt::format("byte {}", Third);
  const std::vector<Row> Table = {
      {"whole", [](const std::string &Bytes) { return Bytes; }, 3, nullptr},
      {"header of the last record cut",
       [&](const std::string &Bytes) { return Bytes.substr(0, Third + 7); }, 2,
       nullptr},
      {"payload of the last record cut",
       [&](const std::string &Bytes) {
         return Bytes.substr(0, Bytes.size() - 9);
       },
       2, nullptr},
      {"zeros in place of the last record",
       [&](const std::string &Bytes) {
         return Bytes.substr(0, Third) + std::string(RecordBytes, '\0');
       },
       2, nullptr},
      {"zeros after the last record",
       [](const std::string &Bytes) { return Bytes + std::string(100, '\0'); },
       3, nullptr},
      {"file header cut",
       [](const std::string &Bytes) { return Bytes.substr(0, 5); }, 0, nullptr},
      {"bit in the file header", Flip(3), 0, "byte 0"},
      {"bit in a length in the middle", Flip(Second), 0, AtSecond.c_str()},
      {"bit in a payload in the middle", Flip(Second + 41), 0,
       AtSecond.c_str()},
      {"bit in the last length", Flip(Third), 0, AtThird.c_str()},
      {"bit in the last payload", Flip(Third + 41), 0, AtThird.c_str()},
      {"bit in the last checksum", Flip(Good.size() - 1), 0, AtThird.c_str()},
      {"a record missing",
       [&](const std::string &Bytes) {
         return Bytes.substr(0, Second) + Bytes.substr(Third);
       },
       0, AtSecond.c_str()},
  };
  for (const Row &Each : Table) {
    INFO(Each.m_Name);
    spill(At.firstLog(), Each.m_Damage(Good));
    if (Each.m_Refusal != nullptr) {
      const std::string Failure = errorAtOpen(At);
      CHECK(Failure.find(Each.m_Refusal) != std::string::npos);
      CHECK(Failure.find(At.firstLog()) != std::string::npos);
      continue;
    }
    CHECK(open(At)->takeLoaded().m_Records.size() == Each.m_Records);
    CHECK(errorAtOpen(At) == "");
  }
  SECTION("vote, identity and snapshot files") {
    spill(At.firstLog(), Good);
    Persist Snap;
    Snap.m_Snapshot = std::make_shared<Snapshot>(Snapshot{2, 1, {}, "state"});
    save(*open(At), Snap);
    for (const char *Name :
         {"vote", "identity", "snapshot-00000000000000000002"}) {
      const std::string Whole = slurp(At.file(Name));
      spill(At.file(Name), Flip(Whole.size() - 1)(Whole));
      CHECK(errorAtOpen(At).find(At.file(Name)) != std::string::npos);
      spill(At.file(Name), Whole);
    }
    CHECK(errorAtOpen(At) == "");
  }
}

TEST_CASE("whatever end of the log is lost, a front part is read") {
  CHECK(rc::check("a cut log yields its first records", [] {
    Folder At;
    const auto Count = *rc::gen::inRange<Index>(1, 20);
    {
      RC_ASSERT(!failed(
          Store::format(store::systemFiles(), At.m_Path, "test", {"c1"})));
      auto Disk =
          std::move(valueOf(*std::make_unique<Result<std::unique_ptr<Store>>>(
              tryOpen(At, store::systemFiles()))));
      RC_ASSERT(!failed(Disk->write(records(1, Count))));
      RC_ASSERT(!failed(Disk->sync()));
    }
    const std::string Whole = slurp(At.firstLog());
    spill(At.firstLog(),
          Whole.substr(0, *rc::gen::inRange<std::size_t>(0, Whole.size() + 1)));
    auto Opened = tryOpen(At, store::systemFiles());
    RC_ASSERT(!failed(Opened));
    const PersistedState Read = valueOf(Opened)->takeLoaded();
    RC_ASSERT(Read.m_Records.size() <= Count);
    for (Index Next = 1; Next <= Read.m_Records.size(); ++Next)
      RC_ASSERT(Read.m_Records[Next - 1] == record(Next));
  }));
}
