#include "decide/follow.h"

enum follow_verdict follow_judge(struct follow *f, const struct follow_news *news,
				 struct view_revision known, int64_t now_ms)
{
	if (news->epoch < known.epoch)
		return FOLLOW_KNOWN;
	if (news->epoch > known.epoch || news->since > known.number) {
		f->news_ms = 0;
		return FOLLOW_MISSED;
	}
	if (news->revision < known.number)
		return FOLLOW_KNOWN;
	f->news_ms = news->is_complete ? now_ms : 0;
	return FOLLOW_APPLY;
}

bool follow_is_led(const struct follow *f, bool is_reader, int64_t now_ms)
{
	return !is_reader && f->news_ms > 0 && now_ms - f->news_ms < FOLLOW_SILENCE_MS;
}
