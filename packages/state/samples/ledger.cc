// Applies commands to a state machine and reads a budget.

#include <iostream>
#include <lycheestand/state.h>

using namespace lycheestand;
using namespace lycheestand::state;

int
main()
{
  StateMachine machine;
  const WorkspaceId workspace("kalkki");
  machine.Apply(CreateWorkspace{ ChangeId("create"), workspace });
  machine.Apply(TopUpBudget{ ChangeId("top-up"), workspace, Tokens(1000) });
  machine.Apply(RegisterSession{ InstanceId("r1"), SessionId(1) });
  auto outcome = machine.Apply(
    GrantTokens{ SessionId(1), 1, workspace, Tokens(50), Tokens(200) });
  std::cout << "granted " << std::get<TokensGranted>(outcome).tokens
            << ", free " << machine.Budgets().Find(workspace)->Free() << "\n";
}
