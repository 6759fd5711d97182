// Reserves tokens for one request, settles it, and reports its usage.

#include <iostream>
#include <lycheestand/budget.h>

using namespace lycheestand;
using namespace lycheestand::budget;

int
main()
{
  Purse purse{ PurseOptions{} };
  const WorkspaceId workspace("kalkki");
  TimePoint now{};
  Claim claim{ Ticket(1), workspace, Tokens(100), Tokens(300) };
  purse.Reserve(claim, now);
  for (const auto& grantRequest : purse.TakeNeeds(now)) {
    std::cout << "request " << grantRequest.wanted << " tokens from control\n";
    purse.AddGrant({ grantRequest.request, workspace, Tokens(300), false },
                   now);
  }
  for (const auto& decision : purse.Poll(now)) {
    std::cout << "reserved " << decision.tokens << "\n";
  }
  purse.Settle(claim.ticket, Tokens(180), now);
  if (auto batch = purse.TakeBatch(now)) {
    std::cout << "report " << batch->parts[0].spent << " spent\n";
  }
}
