#include "consensus_model/consensus_model.h"

#include <catch2/catch.hpp>

using namespace wasabivale::consensus;

namespace {

constexpr std::uint64_t Seeds = 400;
constexpr std::uint64_t Steps = 3000;

/// \returns the report of the first failing run; empty if none fails.
/// The scripted run comes first, because random runs rarely reach its case.
std::string firstFailure(Mutation Fault) {
  setMutation(Fault);
  if (std::string Failure = checkEarlierTermCommit(); !Failure.empty()) {
    setMutation(Mutation::None);
    return Failure;
  }
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const RunReport Report = run({Seed, Steps});
    if (Report.m_Failure.empty())
      continue;
    setMutation(Mutation::None);
    return std::to_string(Seed) + ": " + Report.m_Failure;
  }
  setMutation(Mutation::None);
  return "";
}

} // namespace

TEST_CASE("the checks detect every mutation") {
  struct MutationCase {
    const char *m_Name;
    Mutation m_Mutation;
  };
  const MutationCase Table[] = {
      {"VoteWithoutPersisting", Mutation::VoteWithoutPersisting},
      {"CountUnknownIncarnation", Mutation::CountUnknownIncarnation},
      {"CommitEarlierTerm", Mutation::CommitEarlierTerm},
      {"VoteDuringLease", Mutation::VoteDuringLease},
      {"LeaseFromReceiveTime", Mutation::LeaseFromReceiveTime},
      {"CountLearner", Mutation::CountLearner},
      {"KeepConflict", Mutation::KeepConflict},
      {"AcknowledgeWithoutPersisting", Mutation::AcknowledgeWithoutPersisting},
      {"KeepLeaseInTransfer", Mutation::KeepLeaseInTransfer},
      {"VoteForShorterLog", Mutation::VoteForShorterLog},
  };
  for (const MutationCase &Case : Table) {
    const std::string Failure = firstFailure(Case.m_Mutation);
    INFO(Case.m_Name);
    CHECK_FALSE(Failure.empty());
  }
}

TEST_CASE("the checks pass without a mutation") {
  CHECK(checkEarlierTermCommit() == "");
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed)
    CHECK(run({Seed, Steps}).m_Failure == "");
}
