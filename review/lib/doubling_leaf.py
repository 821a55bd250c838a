"""A faulty leaf that sends some of its answers twice."""

import harness


class DoublingLeaf(harness.Leaf):
    """Sends the second copy at the point where the next answer is expected.

    Only answers to requests that it shed are sent twice, up to EXTRA_SHARE of all its answers.
    """

    EXTRA_SHARE = 0.04
    answers = 0
    copies = 0

    async def after_answer(self, writer, message, answer):
        self.answers += 1
        shed = answer.startswith(b"HTTP/1.1 503")
        if harness.trouble() and shed and self.copies + 1 <= self.EXTRA_SHARE * self.answers:
            self.copies += 1
            writer.second_copy = answer

    async def before_answer(self, writer, message):
        copy = getattr(writer, "second_copy", None)
        if copy is not None:
            writer.second_copy = None
            writer.write(copy)
            await writer.drain()
            self.record.write(
                "second_copy", leaf=self.name, of=harness.find_id(copy), next_request=harness.find(message[1], harness.ID))
