"""How old what an instance knows of the store may become."""
