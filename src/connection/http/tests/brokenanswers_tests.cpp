// A server in trouble sends answers that break the protocol. None of them may reach a caller as an
// answer, and none may be taken for an interim response, since bytes of its body would then be read
// as the head of the final one.
#include <gtest/gtest.h>

#include "connection/http/tests/answerof.h"

using namespace nutmegplank::connection::http;
using tests::AfterAnswer;
using tests::answerOf;

namespace {

constexpr auto WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";

struct BrokenCase
{
    const char *name;
    std::string answer;
};

auto operator<<(std::ostream &stream, const BrokenCase &broken) -> std::ostream &
{
    return stream << broken.name;
}

class BrokenAnswer : public testing::TestWithParam<BrokenCase>
{ };

auto withStatus(const std::string &status) -> std::string
{
    return "HTTP/1.1 " + status + " X\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";
}

auto withLine(const std::string &line) -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n" + line + "\r\nContent-Length: 5\r\n\r\nhello";
}

auto withCoding(const std::string &lines) -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n" + lines + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
}

} // namespace

TEST_P(BrokenAnswer, Http_BrokenAnswer_IsAnError)
{
    const auto answer = answerOf(GetParam().answer);
    EXPECT_FALSE(answer.ok()) << answer->status << " " << answer->body;
}

//! The caller must not wait out its time for an answer that can't come any more.
TEST_P(BrokenAnswer, Http_BrokenAnswerOnAKeptConnection_IsAnErrorAtOnce)
{
    const auto answer = answerOf(GetParam().answer, AfterAnswer::KeepOpen);
    ASSERT_FALSE(answer.ok()) << answer->status << " " << answer->body;
    EXPECT_NE(answer.status().code(), absl::StatusCode::kDeadlineExceeded);
}

//! An answer that is cut anywhere must not look complete.
TEST(CutAnswer, Http_AnswerCutInItsHead_IsAnError)
{
    for (const auto &whole : { withStatus("200"), withLine("Content-Type: a"),
                               withCoding("Transfer-Encoding: chunked") }) {
        const auto headBytes = whole.find("\r\n\r\n") + 4;
        for (auto sent = std::size_t(0); sent < headBytes; ++sent)
            EXPECT_FALSE(answerOf(whole.substr(0, sent)).ok()) << whole.substr(0, sent);
    }
}

TEST(CutAnswer, Http_AnswerCutInItsBody_IsAnError)
{
    for (const auto &whole : { withStatus("200"), withCoding("Transfer-Encoding: chunked") }) {
        for (auto sent = whole.find("\r\n\r\n") + 4; sent < whole.size(); ++sent)
            EXPECT_FALSE(answerOf(whole.substr(0, sent)).ok()) << whole.substr(0, sent);
    }
}

TEST(UnusualAnswer, Http_UnusualButSoundAnswer_IsTaken)
{
    for (const auto &sound :
         { withStatus("200"), withStatus("599"), withLine("X-Empty:"),
           withLine("!#$%&'*+-.^_`|~: 1"), withLine("X-Tabs:\t\ta\tb\t"),
           withCoding("Transfer-Encoding: chunked"), withCoding("transfer-encoding:  Chunked "),
           std::string("HTTP/1.0 200 OK\r\nX-Server-Stamp: s\r\n\r\nhello"),
           "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + withStatus("200") }) {
        const auto answer = answerOf(sound);
        ASSERT_TRUE(answer.ok()) << answer.status() << "\n" << sound;
        EXPECT_EQ(answer->body, "hello");
    }
}

INSTANTIATE_TEST_SUITE_P(
    Http, BrokenAnswer,
    testing::Values(
        BrokenCase { "StatusZero", withStatus("000") },
        BrokenCase { "StatusZeroBeforeAnotherAnswer",
                     "HTTP/1.1 000 X\r\nContent-Length: 43\r\n\r\n" + std::string(WHOLE) },
        BrokenCase { "StatusBelowInterim", withStatus("099") },
        BrokenCase { "StatusAboveErrors", withStatus("600") },
        BrokenCase { "StatusLargest", withStatus("999") },
        BrokenCase { "StatusOfTwoDigits", withStatus("20") },
        BrokenCase { "StatusOfFourDigits", withStatus("2000") },
        BrokenCase { "StatusNegative", withStatus("-20") },
        BrokenCase { "StatusWithLetters", withStatus("2x0") },
        BrokenCase { "InterimWithLength",
                     "HTTP/1.1 103 X\r\nContent-Length: 43\r\n\r\n" + std::string(WHOLE) },
        BrokenCase { "InterimWithCoding",
                     "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(WHOLE) },
        BrokenCase { "NameWithBlank", withLine("X Odd: 1") },
        BrokenCase { "NameEndsWithBlank", withLine("X-Odd : 1") },
        BrokenCase { "NameBeginsWithBlank", withLine(" X-Odd: 1") },
        BrokenCase { "NameBeginsWithTab", withLine("\tX-Odd: 1") },
        BrokenCase { "FirstNameBeginsWithBlank",
                     "HTTP/1.1 200 OK\r\n X-Odd: 1\r\nContent-Length: 5\r\n\r\nhello" },
        BrokenCase { "LengthBeginsWithBlank",
                     "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n Content-Length: 5\r\n\r\nhello" },
        BrokenCase { "LengthEndsWithBlank",
                     "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length : 5\r\n\r\nhello" },
        BrokenCase { "CodingBeginsWithBlank", withCoding(" Transfer-Encoding: chunked") },
        BrokenCase { "EmptyValueContinues", withLine("X-Odd:\r\n 1") },
        BrokenCase { "InterimNameBeginsWithBlank",
                     "HTTP/1.1 103 X\r\nLink: a\r\n X-Odd: 1\r\n\r\n" + std::string(WHOLE) },
        BrokenCase { "NameWithTab", withLine("X\tOdd: 1") },
        BrokenCase { "NameWithNul", withLine(std::string("X\0Odd: 1", 8)) },
        BrokenCase { "NameWithControlByte", withLine("X\x01Odd: 1") },
        BrokenCase { "NameWithDelete", withLine("X\x7fOdd: 1") },
        BrokenCase { "NameWithCarriageReturn", withLine("X\rOdd: 1") },
        BrokenCase { "NameWithLineFeed", withLine("X\nOdd: 1") },
        BrokenCase { "NameWithHighByte", withLine("X\xc3\xa4: 1") },
        BrokenCase { "NameWithEqualsSign", withLine("X=Odd: 1") },
        BrokenCase { "NameEmpty", withLine(": 1") },
        BrokenCase { "LineWithoutColon", withLine("X-Odd") },
        BrokenCase { "ValueWithNul", withLine(std::string("X-Odd: \0", 8)) },
        BrokenCase { "ValueWithLineFeed", withLine("X-Odd: a\nX-More: b") },
        BrokenCase { "CodingUnknown", withCoding("Transfer-Encoding: gzip") },
        BrokenCase { "CodingBeforeChunked", withCoding("Transfer-Encoding: gzip, chunked") },
        BrokenCase { "CodingAfterChunked", withCoding("Transfer-Encoding: chunked, gzip") },
        BrokenCase { "CodingChunkedTwice", withCoding("Transfer-Encoding: chunked, chunked") },
        BrokenCase { "CodingInLineBefore",
                     withCoding("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked") },
        BrokenCase { "CodingInLineAfter",
                     withCoding("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip") },
        BrokenCase { "CodingWithParameter", withCoding("Transfer-Encoding: chunked;a=b") },
        BrokenCase { "CodingEmpty", withCoding("Transfer-Encoding:") },
        BrokenCase { "CodingAndLength",
                     withCoding("Transfer-Encoding: gzip\r\nContent-Length: 15") },
        BrokenCase { "LengthAndCoding",
                     withCoding("Content-Length: 15\r\nTransfer-Encoding: chunked") },
        BrokenCase { "LengthsThatDiffer", withLine("Content-Length: 4") },
        BrokenCase { "LengthWithSign", "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello" },
        BrokenCase { "LengthEmpty", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nhello" },
        BrokenCase { "ChunkSizeNoNumber",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nhello\r\n0\r\n\r\n" },
        BrokenCase { "ChunkLongerThanItsSize",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n" },
        BrokenCase { "VersionUnknown", "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nhello" },
        BrokenCase { "NoAnswer", "hello\r\n\r\nhello" }),
    [](const auto &info) { return std::string(info.param.name); });
