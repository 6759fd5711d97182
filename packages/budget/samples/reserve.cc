// Reserves tokens for one request, settles it, and reports its usage.

#include <iostream>
#include <lycheestand/budget.h>

using namespace lycheestand;
using namespace lycheestand::budget;

int
main()
{
  LocalBudget localBudget{ LocalBudgetOptions{} };
  const WorkspaceId workspace("kalkki");
  TimePoint now{};
  Claim claim{ Ticket(1), workspace, Tokens(100), Tokens(300) };
  localBudget.Reserve(claim, now);
  for (const auto& grantRequest : localBudget.TakeGrantRequests(now)) {
    std::cout << "request " << grantRequest.wanted << " tokens from control\n";
    localBudget.AddGrant(
      { grantRequest.request, workspace, Tokens(300), false }, now);
  }
  for (const auto& decision : localBudget.Poll(now)) {
    std::cout << "reserved " << decision.tokens << "\n";
  }
  localBudget.Settle(claim.ticket, Tokens(180), now);
  if (auto batch = localBudget.TakeBatch(now)) {
    std::cout << "report " << batch->entries[0].spent << " spent\n";
  }
}
