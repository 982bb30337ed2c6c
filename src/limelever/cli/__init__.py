"""The command line of limelever."""
