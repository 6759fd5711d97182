#include <lycheestand/consensus.h>

namespace lycheestand::consensus {

void
Log::Reset(LogIndex aIndex, Term aTerm)
{
  this->baseIndex = aIndex;
  this->baseTerm = aTerm;
  this->entries.clear();
}

LogIndex
Log::First() const
{
  return LogIndex(this->baseIndex.Get() + 1);
}

LogIndex
Log::Last() const
{
  return LogIndex(this->baseIndex.Get() + this->entries.size());
}

std::optional<Term>
Log::TermAt(LogIndex aIndex) const
{
  if (aIndex == this->baseIndex) {
    return this->baseTerm;
  }
  if (aIndex < this->baseIndex || aIndex > this->Last()) {
    return std::nullopt;
  }
  return this->At(aIndex).term;
}

const Entry&
Log::At(LogIndex aIndex) const
{
  return this->entries[aIndex.Get() - this->baseIndex.Get() - 1];
}

void
Log::Append(Entry aEntry)
{
  this->entries.push_back(std::move(aEntry));
}

void
Log::TruncateFrom(LogIndex aIndex)
{
  while (this->Last() >= aIndex && !this->entries.empty()) {
    this->entries.pop_back();
  }
}

void
Log::CompactTo(LogIndex aIndex)
{
  while (this->baseIndex < aIndex && !this->entries.empty()) {
    this->baseIndex = this->entries.front().index;
    this->baseTerm = this->entries.front().term;
    this->entries.pop_front();
  }
}

} // namespace lycheestand::consensus
