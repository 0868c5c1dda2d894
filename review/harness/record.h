// The record of a case: what was sent, answered and run, with times.
#pragma once

#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(aPath)
    , m_start(Clock::now())
  {
  }

  void Line(const std::string& aText)
  {
    std::lock_guard lock(m_mutex);
    double seconds =
      std::chrono::duration<double>(Clock::now() - m_start).count();
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", seconds);
    m_file << time << aText << std::endl;
  }

  // Also prints the line.
  void Note(const std::string& aText)
  {
    Line(aText);
    std::printf("%s\n", aText.c_str());
    std::fflush(stdout);
  }

private:
  std::mutex m_mutex;
  std::ofstream m_file;
  TimePoint m_start;
};

} // namespace review
