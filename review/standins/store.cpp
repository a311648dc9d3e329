// Stand-in of the platform's store: topics with one partition each, of keyed records.
//   store IP:PORT
#include <condition_variable>
#include <mutex>

#include "Net.h"

using namespace review;

namespace {

struct Topic
{
  std::vector<std::string> records;          // Without the length prefix.
  std::map<std::string, std::size_t> newest; // Offset by key.
};

std::mutex gMutex;
std::condition_variable gChanged;
std::map<std::string, Topic> gTopics;

std::string
BigEndian(std::uint64_t aNumber, int aBytes)
{
  std::string text;
  for (int shift = (aBytes - 1) * 8; shift >= 0; shift -= 8) {
    text.push_back(static_cast<char>((aNumber >> shift) & 0xff));
  }
  return text;
}

std::string
Base64(const std::string& aBytes)
{
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    const std::size_t left = std::min<std::size_t>(3, aBytes.size() - i);
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = (bits << 8) | (j < left ? static_cast<unsigned char>(aBytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += j <= left ? kDigits[(bits >> (18 - 6 * j)) & 63] : '=';
    }
  }
  return text;
}

std::string
Query(const std::string& aTarget, const std::string& aName)
{
  std::size_t from = aTarget.find('?');
  while (from != std::string::npos) {
    const std::size_t next = aTarget.find('&', from + 1);
    const std::string pair = aTarget.substr(from + 1, next - from - 1);
    if (pair.rfind(aName + "=", 0) == 0) {
      return pair.substr(aName.size() + 1);
    }
    from = next;
  }
  return "";
}

std::string
Append(Topic& aTopic, const std::string& aBody)
{
  const std::size_t offset = aTopic.records.size();
  std::size_t from = 0;
  while (from + 4 <= aBody.size()) {
    std::uint32_t length = 0;
    for (int i = 0; i < 4; ++i) {
      length = (length << 8) | static_cast<unsigned char>(aBody[from + i]);
    }
    const std::string record = aBody.substr(from + 4, length);
    from += 4 + length;
    const std::size_t keyLength = record.empty() ? 0 : static_cast<unsigned char>(record[0]);
    const std::string key = record.substr(std::min<std::size_t>(1, record.size()), keyLength);
    if (record.size() > keyLength + 1) {
      aTopic.newest[key] = aTopic.records.size();
    } else {
      aTopic.newest.erase(key);
    }
    aTopic.records.push_back(record);
  }
  gChanged.notify_all();
  return "{\"Offset\":" + std::to_string(offset) +
         ",\"End\":" + std::to_string(aTopic.records.size()) + "}";
}

std::string
ListNewest(const Topic& aTopic)
{
  std::string entries;
  for (const auto& [key, offset] : aTopic.newest) {
    const std::string& record = aTopic.records[offset];
    entries += (entries.empty() ? "" : ",") + ("{\"Key\":\"" + key + "\",\"Value\":\"") +
               Base64(record.substr(1 + key.size())) + "\",\"Offset\":" + std::to_string(offset) +
               "}";
  }
  return "{\"Entries\":[" + entries +
         "],\"MorePages\":false,\"End\":" + std::to_string(aTopic.records.size()) + "}";
}

std::string
Read(const Topic& aTopic, std::size_t aFrom, std::size_t aMaxBytes)
{
  std::string page = BigEndian(aTopic.records.size(), 8) + BigEndian(0, 8);
  for (std::size_t i = aFrom; i < aTopic.records.size(); ++i) {
    if (i > aFrom && page.size() + aTopic.records[i].size() > aMaxBytes) {
      break;
    }
    page += BigEndian(aTopic.records[i].size(), 4) + aTopic.records[i];
  }
  return page;
}

void
Serve(int aFd)
{
  Reader reader(aFd);
  Head head;
  while (reader.ReadHead(head) == End::Ok) {
    std::string body;
    bool complete = false;
    if (reader.ReadBody(head, false, body, complete) != End::Ok || !complete) {
      break;
    }
    const std::string target = head.Word(1);
    const std::string path = target.substr(0, target.find('?'));
    std::string answer;
    int status = 200;
    {
      std::unique_lock<std::mutex> lock(gMutex);
      Topic& topic = gTopics[Query(target, "Topic")];
      if (path == "/log-append") {
        answer = Append(topic, body);
      } else if (path == "/log-newest") {
        answer = ListNewest(topic);
      } else if (path == "/log-read") {
        const std::size_t from = std::strtoul(Query(target, "From").c_str(), nullptr, 10);
        const std::size_t maxKb = std::strtoul(Query(target, "MaxKb").c_str(), nullptr, 10);
        gChanged.wait_for(lock, milliseconds(std::atoi(Query(target, "WaitMs").c_str())), [&] {
          return topic.records.size() > from;
        });
        answer = Read(topic, from, (maxKb == 0 ? 1024 : maxKb) * 1024);
      } else {
        status = 404;
      }
    }
    if (!SendAll(aFd,
                 "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " +
                   std::to_string(answer.size()) + "\r\n\r\n" + answer)) {
      break;
    }
  }
  close(aFd);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  signal(SIGPIPE, SIG_IGN);
  const int listener = Listen(ParseAddress(aCount > 1 ? aArguments[1] : "127.0.0.1:9000"));
  while (true) {
    const int fd = accept(listener, nullptr, nullptr);
    if (fd >= 0) {
      std::thread(Serve, fd).detach();
    }
  }
}
