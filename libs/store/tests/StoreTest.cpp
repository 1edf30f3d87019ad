#include "store/store.h"
#include "store_faults/store_faults.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <rapidcheck.h>

using namespace wasabivale;
using namespace wasabivale::consensus;
using store::CachedFiles;
using store::Fault;
using store::FaultyFiles;
using store::Store;

namespace {

struct TempFolder {
  std::string m_Path = fmt::format(
      "{}/wasabivale-store-{}", std::filesystem::temp_directory_path().string(),
      randomIdentity());
  ~TempFolder() { std::filesystem::remove_all(m_Path); }

  [[nodiscard]] std::string file(const std::string &Name) const {
    return m_Path + "/" + Name;
  }
  [[nodiscard]] std::string firstLog() const {
    return file("log-00000000000000000001");
  }
};

Result<std::unique_ptr<Store>> tryOpen(const TempFolder &Folder,
                                       store::Files &FileOps) {
  return Store::open(FileOps, Folder.m_Path, "test", {"c1"});
}

std::unique_ptr<Store> open(const TempFolder &Folder,
                            store::Files &FileOps = store::systemFiles()) {
  auto Disk = tryOpen(Folder, FileOps);
  if (failed(Disk))
    FAIL(describe(errorOf(Disk)));
  return std::move(valueOf(Disk));
}

std::unique_ptr<Store> openFresh(const TempFolder &Folder,
                                 store::Files &FileOps = store::systemFiles()) {
  REQUIRE(!failed(Store::format(FileOps, Folder.m_Path, "test", {"c1"})));
  return open(Folder, FileOps);
}

Record record(Index Position, Term RecordTerm = 1,
              const std::string &Payload = "payload") {
  return {Position, RecordTerm, RecordKind::Command, Payload};
}

Persist records(Index First, Index Last, Term RecordTerm = 1) {
  Persist Changes;
  for (Index Position = First; Position <= Last; ++Position)
    Changes.m_Records.push_back(record(Position, RecordTerm));
  return Changes;
}

void save(Store &Disk, const Persist &Changes) {
  REQUIRE(!failed(Disk.write(Changes)));
  REQUIRE(!failed(Disk.sync()));
}

std::string readFile(const std::string &Path) {
  return valueOf(store::systemFiles().read(Path));
}

void writeFile(const std::string &Path, const std::string &Bytes) {
  std::ofstream(Path, std::ios::binary | std::ios::trunc) << Bytes;
}

std::string errorAtOpen(const TempFolder &Folder) {
  const auto Disk = tryOpen(Folder, store::systemFiles());
  return failed(Disk) ? describe(errorOf(Disk)) : "";
}

} // namespace

SCENARIO("synced data survives a restart") {
  TempFolder Folder;
  auto Disk = openFresh(Folder);
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
      Disk = open(Folder);
      const PersistedState Data = Disk->takeLoaded();
      THEN("all data and the incarnation are restored") {
        CHECK(Disk->identity().m_Incarnation == Incarnation);
        CHECK(Data.m_HardState == HardState{3, {"c2"}});
        REQUIRE(Data.m_Records.size() == 9);
        CHECK(Data.m_Records[6] == record(7));
        CHECK(Data.m_Records[8] == record(9, 2));
        REQUIRE(Data.m_Snapshot != nullptr);
        CHECK(Data.m_Snapshot->m_Data == "state at 5");
        CHECK(Disk->truncatedBytes() == 0);
      }
    }
    WHEN("a snapshot from the leader replaces the log") {
      Persist Installed;
      Installed.m_Snapshot =
          std::make_shared<Snapshot>(Snapshot{50, 4, {}, "state at 50"});
      Installed.m_DropLog = true;
      save(*Disk, Installed);
      save(*Disk, records(51, 52, 4));
      Disk.reset();
      const PersistedState Data = open(Folder)->takeLoaded();
      THEN("the log continues after the snapshot") {
        REQUIRE(Data.m_Records.size() == 2);
        CHECK(Data.m_Records[0].m_Index == 51);
        CHECK(Data.m_Snapshot->m_Index == 50);
      }
    }
    WHEN("a crash occurs between storing a snapshot and replacing the log") {
      Persist Installed;
      Installed.m_Snapshot =
          std::make_shared<Snapshot>(Snapshot{50, 4, {}, "state at 50"});
      save(*Disk, Installed);
      Disk.reset();
      Disk = open(Folder);
      THEN("the log that does not reach the snapshot is removed") {
        CHECK(Disk->takeLoaded().m_Records.empty());
        save(*Disk, records(51, 51, 4));
      }
    }
    WHEN("another process opens it") {
      THEN("it is refused") {
        CHECK(errorAtOpen(Folder).find("store.lock") == 0);
      }
    }
  }
  GIVEN("more than one log file") {
    Persist Big;
    const std::string Payload(store::SegmentBytes / 2, 'x');
    for (Index Next = 1; Next <= 8; ++Next)
      Big.m_Records.push_back(record(Next, 1, Payload));
    save(*Disk, Big);
    THEN("truncation and compaction work across files") {
      Persist Compact;
      Compact.m_Snapshot = std::make_shared<Snapshot>(Snapshot{4, 1, {}, ""});
      Compact.m_CompactTo = 4;
      save(*Disk, Compact);
      Persist Conflict;
      Conflict.m_TruncateFrom = 6;
      Conflict.m_Records = {record(6, 2)};
      save(*Disk, Conflict);
      Disk.reset();
      CHECK_FALSE(std::filesystem::exists(Folder.firstLog()));
      const PersistedState Data = open(Folder)->takeLoaded();
      REQUIRE(!Data.m_Records.empty());
      CHECK(Data.m_Records.front().m_Index <= 5);
      CHECK(Data.m_Records.back() == record(6, 2));
    }
    THEN("a gap that the snapshot covers is ignored, and one above is told") {
      Persist Snap;
      Snap.m_Snapshot = std::make_shared<Snapshot>(Snapshot{7, 1, {}, ""});
      save(*Disk, Snap);
      Disk.reset();
      std::vector<std::string> Logs;
      for (const auto &Entry :
           std::filesystem::directory_iterator(Folder.m_Path))
        if (Entry.path().filename().string().find("log-") == 0)
          Logs.push_back(Entry.path().string());
      std::sort(Logs.begin(), Logs.end());
      REQUIRE(Logs.size() == 4);
      std::filesystem::remove(Logs[1]);
      CHECK(open(Folder)->takeLoaded().m_Records.back().m_Index == 8);
      CHECK_FALSE(std::filesystem::exists(Logs[0]));
      std::filesystem::remove(Folder.file("snapshot-00000000000000000007"));
      CHECK(errorAtOpen(Folder).find("records before it are missing") !=
            std::string::npos);
    }
  }
}

SCENARIO("a folder keeps the start at which it was formatted") {
  TempFolder Folder;
  store::Files &Files = store::systemFiles();

  GIVEN("a folder of a first start") {
    REQUIRE(
        !failed(Store::format(Files, Folder.m_Path, "test", {"c1"},
                              {store::StartKind::First, {{"c1"}, {"c2"}}})));
    THEN("each open has its seeds") {
      for (int Open = 0; Open < 2; ++Open) {
        const auto Disk = open(Folder);
        CHECK(Disk->identity().m_Origin.m_Kind == store::StartKind::First);
        CHECK(Disk->identity().m_Origin.m_Seeds ==
              std::vector<NodeId>{{"c1"}, {"c2"}});
      }
    }
  }
  GIVEN("a folder of a later start") {
    REQUIRE(!failed(Store::format(Files, Folder.m_Path, "test", {"c1"},
                                  {store::StartKind::Later, {}})));
    THEN("it says so") {
      CHECK(open(Folder)->identity().m_Origin.m_Kind ==
            store::StartKind::Later);
    }
  }
  GIVEN("a folder of a build that did not record it") {
    // Bytes that such a build has written: they end behind the inode.
    const auto Disk = openFresh(Folder);
    THEN("its start is unknown") {
      CHECK(Disk->identity().m_Origin.m_Kind == store::StartKind::Unknown);
      CHECK(Disk->identity().m_Origin.m_Seeds.empty());
    }
  }
}

SCENARIO("a folder keeps its group and its contacts") {
  TempFolder Folder;
  FaultyFiles Files;
  auto Disk = openFresh(Folder, Files);
  CHECK(Disk->group() == 0);
  CHECK(Disk->contacts().empty());
  REQUIRE(!failed(Disk->saveGroup(7)));
  REQUIRE(!failed(Disk->saveContacts({{"c2"}, {"c3"}})));

  THEN("they are read at the next open") {
    Disk.reset();
    Disk = open(Folder, Files);
    CHECK(Disk->group() == 7);
    CHECK(Disk->contacts() == std::vector<NodeId>{{"c2"}, {"c3"}});
  }
  WHEN("the disk is full while contacts are stored") {
    Files.m_Fault = Fault::Full;
    CHECK(failed(Disk->saveContacts({{"c4"}})));
    Files.m_Fault = Fault::None;
    THEN("the former ones stay, and the store goes on") {
      CHECK(Disk->contacts() == std::vector<NodeId>{{"c2"}, {"c3"}});
      save(*Disk, records(1, 1));
      CHECK(!failed(Disk->saveContacts({{"c4"}})));
    }
  }
}

SCENARIO("a store opens only the folder of its own member") {
  TempFolder Folder;
  auto Disk = openFresh(Folder);
  const std::string Incarnation = Disk->identity().m_Incarnation;
  Disk.reset();

  THEN("a formatted folder is not formatted again") {
    CHECK(failed(
        Store::format(store::systemFiles(), Folder.m_Path, "test", {"c1"})));
  }
  THEN("a folder of another cluster or member is refused") {
    CHECK(
        failed(Store::open(store::systemFiles(), Folder.m_Path, "x", {"c1"})));
    CHECK(failed(
        Store::open(store::systemFiles(), Folder.m_Path, "test", {"c2"})));
  }
  THEN("an emptied folder gets a new incarnation") {
    std::filesystem::remove_all(Folder.m_Path);
    CHECK(openFresh(Folder)->identity().m_Incarnation != Incarnation);
  }
  THEN("a copy of the folder is refused") {
    const std::string Kept = Folder.m_Path + "-kept";
    std::filesystem::copy(Folder.m_Path, Kept);
    std::filesystem::rename(Kept + "/identity", Folder.file("restored"));
    std::filesystem::rename(Folder.file("restored"), Folder.file("identity"));
    std::filesystem::remove_all(Kept);
    CHECK(errorAtOpen(Folder).find("copied or restored") != std::string::npos);
  }
  THEN("a folder that was not formatted is refused") {
    std::filesystem::remove(Folder.file("identity"));
    CHECK(errorAtOpen(Folder).find("identity") != std::string::npos);
  }
}

TEST_CASE("a write fault fails the store permanently") {
  struct Row {
    const char *m_Name;
    Fault m_Fault;
    bool m_WritesVote; ///< Writes the vote file rather than records.
    bool m_Fails;
  };
  const std::vector<Row> Table = {
      {"full disk, records", Fault::Full, false, true},
      {"full disk, vote", Fault::Full, true, true},
      {"short write, then full", Fault::ShortThenFull, false, true},
      {"short write that is continued", Fault::ShortOnce, false, false},
      {"sync error, records", Fault::Sync, false, true},
      {"sync error, vote", Fault::Sync, true, true},
      {"rename error", Fault::Rename, true, true},
      {"folder sync error", Fault::SyncFolder, true, true},
  };
  for (const Row &Case : Table) {
    INFO(Case.m_Name);
    TempFolder Folder;
    FaultyFiles Files;
    auto Disk = openFresh(Folder, Files);
    save(*Disk, records(1, 3));
    Persist Changes = records(4, 6);
    if (Case.m_WritesVote)
      Changes.m_HardState = HardState{2, {"c1"}};
    Files.m_Fault = Case.m_Fault;
    Status Done = Disk->write(Changes);
    if (!failed(Done))
      Done = Disk->sync();
    CHECK(failed(Done) == Case.m_Fails);
    Files.m_Fault = Fault::None;
    // The disk works again, but its content is unknown.
    CHECK(failed(Disk->sync()) == Case.m_Fails);
    CHECK(failed(Disk->write(records(7, 7))) == Case.m_Fails);
    CHECK(Disk->failure().m_Step.empty() != Case.m_Fails);
    Disk.reset();
    // Acknowledged records survive a restart.
    const PersistedState Data = open(Folder)->takeLoaded();
    REQUIRE(Data.m_Records.size() >= 3);
    CHECK(Data.m_Records[2] == record(3));
  }
}

SCENARIO("data read at open is not lost in a power failure") {
  TempFolder Folder;
  CachedFiles Files;
  REQUIRE(!failed(Store::format(Files, Folder.m_Path, "test", {"c1"})));
  const auto Open = [&] {
    // Files that were restored have other inodes.
    auto Disk = Store::open(Files, Folder.m_Path, "test", {"c1"},
                            store::CopyGuard::None);
    if (failed(Disk))
      FAIL(describe(errorOf(Disk)));
    return std::move(valueOf(Disk));
  };
  auto Disk = Open();
  Persist First = records(1, 3);
  First.m_HardState = HardState{1, {"c1"}};
  save(*Disk, First);
  const auto CheckAllIsKept = [&](std::size_t Records) {
    const PersistedState Read = Open()->takeLoaded();
    CHECK(Read.m_Records.size() == Records);
    Files.losePower(Folder.m_Path);
    const PersistedState Kept = Open()->takeLoaded();
    CHECK(Kept.m_HardState == Read.m_HardState);
    CHECK(Kept.m_Records == Read.m_Records);
  };

  WHEN("the process was killed between a write and its sync") {
    Disk.reset();
    TempFolder Other;
    save(*openFresh(Other), records(1, 6));
    writeFile(Folder.firstLog(), readFile(Other.firstLog()));
    THEN("the records that were not synced are synced") { CheckAllIsKept(6); }
  }
  WHEN(
      "the process was killed before a sync, and the next open fails to sync") {
    Disk.reset();
    TempFolder Other;
    save(*openFresh(Other), records(1, 6));
    writeFile(Folder.firstLog(), readFile(Other.firstLog()));
    Files.m_Disk.m_Fault = Fault::Sync;
    REQUIRE(failed(Store::open(Files, Folder.m_Path, "test", {"c1"},
                               store::CopyGuard::None)));
    Files.m_Disk.m_Fault = Fault::None;
    THEN("the records are written again before they count") {
      CheckAllIsKept(6);
    }
  }
  WHEN("the folder was not synced after a vote was renamed") {
    Persist Vote;
    Vote.m_HardState = HardState{2, {"c2"}};
    Files.m_Disk.m_Fault = Fault::SyncFolder;
    REQUIRE(failed(Disk->write(Vote)));
    Files.m_Disk.m_Fault = Fault::None;
    Disk.reset();
    THEN("the vote is kept") { CheckAllIsKept(3); }
  }
  WHEN("a sync failed, which the next sync of the file does not repeat") {
    REQUIRE(!failed(Disk->write(records(4, 6))));
    Files.m_Disk.m_Fault = Fault::Sync;
    REQUIRE(failed(Disk->sync()));
    Files.m_Disk.m_Fault = Fault::None;
    Disk.reset();
    THEN("the records are removed, and written again") {
      CheckAllIsKept(3);
      Disk = Open();
      save(*Disk, records(4, 6));
      Disk.reset();
      CheckAllIsKept(6);
    }
  }
  WHEN("a sync failed after a conflict was removed") {
    Persist Conflict = records(2, 4, 2);
    Conflict.m_TruncateFrom = 2;
    REQUIRE(!failed(Disk->write(Conflict)));
    Files.m_Disk.m_Fault = Fault::Sync;
    REQUIRE(failed(Disk->sync()));
    Files.m_Disk.m_Fault = Fault::None;
    Disk.reset();
    THEN("only the record before the conflict is left") { CheckAllIsKept(1); }
  }
}

TEST_CASE("corruption is truncated at the tail and refused elsewhere") {
  TempFolder Folder;
  save(*openFresh(Folder), records(1, 3));
  const std::string Original = readFile(Folder.firstLog());
  const std::size_t RecordBytes = (Original.size() - 16) / 3;
  const std::size_t SecondOffset = 16 + RecordBytes;
  const std::size_t ThirdOffset = SecondOffset + RecordBytes;
  struct Row {
    const char *m_Name;
    std::function<std::string(std::string)> m_Damage;
    std::size_t m_Records;   ///< Expected to remain; unused if refused.
    const char *m_ErrorPart; ///< Part of the error; null if open succeeds.
  };
  const auto Flip = [](std::size_t Byte) {
    return [Byte](std::string Bytes) {
      Bytes[Byte] = static_cast<char>(Bytes[Byte] ^ 1);
      return Bytes;
    };
  };
  const std::string ErrorAtSecond = fmt::format("byte {}", SecondOffset);
  const std::string ErrorAtThird = fmt::format("byte {}", ThirdOffset);
  const std::vector<Row> Table = {
      {"whole", [](const std::string &Bytes) { return Bytes; }, 3, nullptr},
      {"header of the last record cut",
       [&](const std::string &Bytes) {
         return Bytes.substr(0, ThirdOffset + 7);
       },
       2, nullptr},
      {"payload of the last record cut",
       [&](const std::string &Bytes) {
         return Bytes.substr(0, Bytes.size() - 9);
       },
       2, nullptr},
      {"zeros in place of the last record",
       [&](const std::string &Bytes) {
         return Bytes.substr(0, ThirdOffset) + std::string(RecordBytes, '\0');
       },
       2, nullptr},
      {"zeros after the last record",
       [](const std::string &Bytes) { return Bytes + std::string(100, '\0'); },
       3, nullptr},
      {"file header cut",
       [](const std::string &Bytes) { return Bytes.substr(0, 5); }, 0, nullptr},
      {"bit in the file header", Flip(3), 0, "byte 0"},
      {"bit in a length in the middle", Flip(SecondOffset), 0,
       ErrorAtSecond.c_str()},
      {"bit in a payload in the middle", Flip(SecondOffset + 41), 0,
       ErrorAtSecond.c_str()},
      {"bit in the last length", Flip(ThirdOffset), 0, ErrorAtThird.c_str()},
      {"bit in the last payload", Flip(ThirdOffset + 41), 0,
       ErrorAtThird.c_str()},
      {"bit in the last checksum", Flip(Original.size() - 1), 0,
       ErrorAtThird.c_str()},
      {"a record missing",
       [&](const std::string &Bytes) {
         return Bytes.substr(0, SecondOffset) + Bytes.substr(ThirdOffset);
       },
       0, ErrorAtSecond.c_str()},
  };
  for (const Row &Case : Table) {
    INFO(Case.m_Name);
    writeFile(Folder.firstLog(), Case.m_Damage(Original));
    if (Case.m_ErrorPart != nullptr) {
      const std::string Failure = errorAtOpen(Folder);
      CHECK(Failure.find(Case.m_ErrorPart) != std::string::npos);
      CHECK(Failure.find(Folder.firstLog()) != std::string::npos);
      continue;
    }
    CHECK(open(Folder)->takeLoaded().m_Records.size() == Case.m_Records);
    CHECK(errorAtOpen(Folder) == "");
  }
  SECTION("vote, identity and snapshot files") {
    writeFile(Folder.firstLog(), Original);
    Persist Snap;
    Snap.m_Snapshot = std::make_shared<Snapshot>(Snapshot{2, 1, {}, "state"});
    save(*open(Folder), Snap);
    for (const char *Name :
         {"vote", "identity", "snapshot-00000000000000000002"}) {
      const std::string Content = readFile(Folder.file(Name));
      writeFile(Folder.file(Name), Flip(Content.size() - 1)(Content));
      CHECK(errorAtOpen(Folder).find(Folder.file(Name)) != std::string::npos);
      writeFile(Folder.file(Name), Content);
    }
    CHECK(errorAtOpen(Folder) == "");
  }
}

TEST_CASE("a log that lost its tail yields a prefix of its records") {
  CHECK(rc::check("a truncated log yields its first records", [] {
    TempFolder Folder;
    const auto Count = *rc::gen::inRange<Index>(1, 20);
    {
      RC_ASSERT(!failed(
          Store::format(store::systemFiles(), Folder.m_Path, "test", {"c1"})));
      auto Disk =
          std::move(valueOf(*std::make_unique<Result<std::unique_ptr<Store>>>(
              tryOpen(Folder, store::systemFiles()))));
      RC_ASSERT(!failed(Disk->write(records(1, Count))));
      RC_ASSERT(!failed(Disk->sync()));
    }
    const std::string Content = readFile(Folder.firstLog());
    writeFile(Folder.firstLog(),
              Content.substr(
                  0, *rc::gen::inRange<std::size_t>(0, Content.size() + 1)));
    auto Disk = tryOpen(Folder, store::systemFiles());
    RC_ASSERT(!failed(Disk));
    const PersistedState Data = valueOf(Disk)->takeLoaded();
    RC_ASSERT(Data.m_Records.size() <= Count);
    for (Index Next = 1; Next <= Data.m_Records.size(); ++Next)
      RC_ASSERT(Data.m_Records[Next - 1] == record(Next));
  }));
}
