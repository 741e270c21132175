"""Computes the expected text of the engine stand-in and parses answers.

The text must be the same as in testing/standins/expected_answer.h.
"""

import ctypes
import json

_XXHASH = ctypes.CDLL("libxxhash.so.0")
_XXHASH.XXH3_64bits.restype = ctypes.c_uint64
_XXHASH.XXH3_64bits.argtypes = [ctypes.c_char_p, ctypes.c_size_t]


# Returns the text of a complete answer with `tokens` tokens.
def expected_text(model, prompt, tokens):
    data = f"{model}\n{prompt}".encode()
    prefix = f"w{_XXHASH.XXH3_64bits(data, len(data)):x}-"
    return "".join(f"{prefix}{i} " for i in range(tokens))


def _choice_text(choice):
    for key in ("delta", "message"):
        if key in choice:
            return choice[key].get("content", "")
    return choice.get("text", "")


def read_stream(body):
    """Returns (text, models, has [DONE], error object) of an event stream.

    Ignores an incomplete event after the last blank line. Raises ValueError,
    KeyError or IndexError on malformed events.
    """
    text, models, done, error = "", set(), False, None
    complete = body.split("\n\n")[:-1]
    for event in complete:
        data = "\n".join(
            line[6:] for line in event.split("\n") if line.startswith("data: ")
        )
        if data == "[DONE]":
            done = True
        elif event.startswith("event: error"):
            error = json.loads(data)["error"]
        else:
            chunk = json.loads(data)
            models.add(chunk["model"])
            text += _choice_text(chunk["choices"][0])
    return text, models, done, error


def read_whole(body):
    """Returns (text, models) of an answer that is not streamed.

    Raises ValueError, KeyError or IndexError if it is malformed.
    """
    answer = json.loads(body)
    return _choice_text(answer["choices"][0]), {answer["model"]}
