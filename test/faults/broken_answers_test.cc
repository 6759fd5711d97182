// Answers that replicas break off or that are no answers of the protocol: they
// must not reach a caller as whole.

#include "replica_faults_fixture.h"

#include <array>
#include <catch2/catch.hpp>

namespace lycheestand::faults {

namespace {

// Larger than the buffers of router and replica together, and smaller than the
// largest body that a router accepts.
constexpr std::size_t kUploadBytes = 4'000'000;

constexpr int kCallsPerRoute = 10;

// Time for a router to read the part of an answer before the reset arrives.
constexpr Duration kPause = 50ms;

class EarlyAnswerFixture : public ReplicaFaultsFixture
{
public:
  EarlyAnswerFixture() { this->AnswerEarly(); }

  Reply Upload(const std::string& aTarget)
  {
    auto call = this->MakeCall(aTarget);
    call.body.assign(kUploadBytes, 'x');
    return this->Send(call);
  }

  static bool IsStream(const std::string& aTarget)
  {
    return aTarget == "/stream/1" || aTarget == "/resumable/1";
  }

  // Returns a head without a length, and the event or text that follows it.
  static std::string MakePart(const ReplicaRequest& aRequest)
  {
    return IsStream(aRequest.target)
             ? MakeStreamHead(aRequest) + MakeEvent(1)
             : MakeHeadWithoutLength(aRequest) + "a part of the answer";
  }
};

constexpr std::array<const char*, 4> kTargets{ "/safe/1",
                                               "/once/1",
                                               "/stream/1",
                                               "/resumable/1" };

} // namespace

// Guards against a part that callers get as a whole answer: without a length
// only the end of the connection tells, and its reset is reported to the write
// of the request.
TEST_CASE_METHOD(EarlyAnswerFixture,
                 "an answer that is reset during the upload is not whole",
                 "[reset-upload]")
{
  this->SetAnswer([](int, const ReplicaRequest& aRequest) {
    return ReplicaAnswer{ { MakePart(aRequest), "" },
                          kPause,
                          ReplicaAnswer::End::Reset };
  });
  for (const char* target : kTargets) {
    int whole = 0;
    for (int i = 0; i < kCallsPerRoute; ++i) {
      auto reply = this->Upload(target);
      whole += reply.status < 300 && reply.isComplete ? 1 : 0;
    }
    CAPTURE(target);
    CHECK(whole == 0);
  }
}

// Guards against sound answers to long uploads that are refused: one without a
// length whose replica reads the request to its end, and an early rejection.
TEST_CASE_METHOD(EarlyAnswerFixture,
                 "a sound early answer to an upload is passed on",
                 "[early-answer]")
{
  this->SetAnswer([](int, const ReplicaRequest& aRequest) {
    return ReplicaAnswer{ { MakePart(aRequest) },
                          {},
                          ReplicaAnswer::End::CloseAfterRequest };
  });
  for (const char* target : kTargets) {
    CAPTURE(target);
    for (int i = 0; i < kCallsPerRoute; ++i) {
      auto reply = this->Upload(target);
      CHECK(reply.status == 200);
      CHECK(reply.isComplete);
      CHECK(reply.body ==
            (IsStream(target) ? MakeEvent(1) : "a part of the answer"));
    }
  }
  for (auto end : { ReplicaAnswer::End::Keep, ReplicaAnswer::End::Reset }) {
    this->SetAnswer([end](int, const ReplicaRequest& aRequest) {
      return ReplicaAnswer{ { MakeAnswer(413, aRequest, "too large"), "" },
                            kPause,
                            end };
    });
    for (int i = 0; i < kCallsPerRoute; ++i) {
      auto reply = this->Upload("/once/1");
      CHECK(reply.status == 413);
      CHECK(reply.isComplete);
      CHECK(reply.body == "too large");
    }
  }
}

namespace {

class OddAnswerFixture : public ReplicaFaultsFixture
{
public:
  // Returns how many of the calls on all routes are answered with something
  // else than a failure of the router's own, which has no seal.
  int CountPassedOn(const Answer& aAnswer)
  {
    this->SetAnswer(aAnswer);
    int passedOn = 0;
    for (const char* target : kTargets) {
      for (int i = 0; i < kCallsPerRoute; ++i) {
        auto reply = this->Send(target);
        bool isOwnFailure = reply.status >= 500 && reply.status < 600 &&
                            !reply.headers.contains("X-Response-Seal");
        passedOn += isOwnFailure ? 0 : 1;
      }
    }
    return passedOn;
  }
};

// Returns an answer with a status in place of its own.
std::string
ReplaceStatus(std::string aAnswer, const std::string& aStatus)
{
  return aAnswer.replace(aAnswer.find(' ') + 1, aStatus.size(), aStatus);
}

} // namespace

// Guards against an answer with a status that the protocol does not know, and
// against what follows it, which is taken for the answer.
TEST_CASE_METHOD(OddAnswerFixture,
                 "an answer without a status of the protocol is not passed on",
                 "[odd-status]")
{
  for (const char* status : { "000", "099", "101", "600", "999" }) {
    CAPTURE(status);
    CHECK(this->CountPassedOn([status](int, const ReplicaRequest& aRequest) {
      auto odd = MakeAnswer(200, aRequest, "wrong");
      return ReplicaAnswer{ { ReplaceStatus(odd, status) } };
    }) == 0);
    CHECK(this->CountPassedOn([status](int, const ReplicaRequest& aRequest) {
      auto odd = MakeAnswer(200, aRequest, "");
      return ReplicaAnswer{ { ReplaceStatus(odd, status) +
                              MakeAnswer(200, aRequest, "next") } };
    }) == 0);
  }
}

// Guards against an answer that is passed on with a line that is no header
// field, or with a body of another length than its replica meant.
TEST_CASE_METHOD(OddAnswerFixture,
                 "an answer with a malformed field name is not passed on",
                 "[odd-field]")
{
  using namespace std::string_literals;
  constexpr int kCalls = kCallsPerRoute * static_cast<int>(kTargets.size());
  REQUIRE(this->CountPassedOn([](int, const ReplicaRequest& aRequest) {
    return ReplicaAnswer{ { MakeAnswer(200, aRequest, "", "X-A: v\r\n") } };
  }) == kCalls);
  for (const auto& line : { "X-A B: v\r\n"s,
                            "X-A : v\r\n"s,
                            "X-A\t: v\r\n"s,
                            "X-A\x01: v\r\n"s,
                            "X-A\0: v\r\n"s,
                            "X-A\x7f: v\r\n"s,
                            "Content-Length : 2\r\n"s,
                            "Transfer-Encoding : chunked\r\n"s }) {
    CAPTURE(line);
    CHECK(this->CountPassedOn([&line](int, const ReplicaRequest& aRequest) {
      return ReplicaAnswer{ { MakeAnswer(200, aRequest, "wrong", line) } };
    }) == 0);
  }
}

} // namespace lycheestand::faults
