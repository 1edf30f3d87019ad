#include "FleetMutations.h"
#include "Replies.h"

namespace wasabivale::fleet {

namespace {

std::string callDigest(const wire::Command &Command) {
  const wire::OperatorCommand &Call = Command.operator_command();
  const Json All =
      Json::array({Command.actor(), Call.kind(), Call.expected_revision(),
                   digestHex(Call.body())});
  return digestHex(All.dump());
}

void dropOldest(RequestTable &Table) {
  Table.m_ById.erase(Table.m_InOrder.front());
  Table.m_InOrder.pop_front();
}

void expire(RequestTable &Table, LogTime Now) {
  while (!Table.m_InOrder.empty() &&
         Now - Table.m_ById.at(Table.m_InOrder.front()).m_AnsweredAt >
             AnswerRetention)
    dropOldest(Table);
}

} // namespace

std::optional<Reply> findAnswer(RequestTable &Table,
                                const wire::Command &Command, LogTime Now) {
  expire(Table, Now);
  if (mutated(Mutation::DropRequestTable))
    return std::nullopt;
  const auto Found = Table.m_ById.find({Command.request_id()});
  if (Found == Table.m_ById.end())
    return std::nullopt;
  if (Found->second.m_CallDigest != callDigest(Command))
    return refuse(Refusal::RequestIdReused);
  return Found->second.m_Reply;
}

void recordAnswer(RequestTable &Table, const wire::Command &Command,
                  const Reply &Reply, LogTime Now) {
  const RequestId Name{Command.request_id()};
  if (Table.m_ById.count(Name) != 0)
    return;
  while (Table.m_InOrder.size() >= MaxAnswers)
    dropOldest(Table);
  Table.m_ById[Name] = {callDigest(Command), Reply, Now};
  Table.m_InOrder.push_back(Name);
}

} // namespace wasabivale::fleet
