"""Answers files of operators: parsing, validation, explanation, configuration."""

from cicadawheel.answers.comparison import difference
from cicadawheel.answers.explanation import explain, explain_configuration
from cicadawheel.answers.generator import generate_configuration
from cicadawheel.answers.mistakes import AnswersError, Mistake
from cicadawheel.answers.model import Answers
from cicadawheel.answers.parser import new_answers_text, read_answers

__all__ = [
    "Answers",
    "AnswersError",
    "Mistake",
    "difference",
    "explain",
    "explain_configuration",
    "generate_configuration",
    "new_answers_text",
    "read_answers",
]
